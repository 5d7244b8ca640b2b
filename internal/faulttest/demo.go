package faulttest

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"time"
)

// DemoOptions are the options of Demo.
type DemoOptions struct {
	Program string // path of the front end to start
	Once    bool   // return after the queries instead of waiting for ctx
	Out     io.Writer
}

const demoEngines = 4

// demo is a running demonstration. After the first error of a write, nothing more is printed.
type demo struct {
	out       io.Writer
	err       error
	catalogue *catalogueRun
	frontEnd  *FrontEnd
	session   *Session
}

// Demo starts a front end, fake engines and a fake Consul, runs a few queries, and keeps the processes running until
// ctx ends.
func Demo(ctx context.Context, o DemoOptions) error {
	dir, err := os.MkdirTemp("", "demo")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	catalogue, err := startCatalogue(Options{Engines: demoEngines})
	defer catalogue.close()
	if err != nil {
		return err
	}
	adminSocket := filepath.Join(dir, "admin.sock")
	frontEnd, err := StartFrontEnd(FrontEndOptions{
		Program: o.Program, Dir: dir, Name: "demo", MemoryMB: 192, Descriptors: 1024, OnLogLine: catalogue.followLog,
		OperatorSettings: fmt.Sprintf(`{"schema":1,"source":"consul","consul":{"addresses":[%q]},"admin_socket":%q}`,
			catalogue.consul.Addr, adminSocket),
	})
	if err != nil {
		return err
	}
	defer func() { _ = frontEnd.Stop() }()
	if !catalogue.waitListed(ctx, demoEngines) {
		return fmt.Errorf("the front end did not list all engines as ready in time; its log:\n%s", frontEnd.Log())
	}
	d := &demo{out: o.Out, catalogue: catalogue, frontEnd: frontEnd}
	d.printAddresses(adminSocket)
	if d.session, err = Dial(frontEnd.Addr, 3*time.Second); err != nil {
		return err
	}
	defer d.session.Close()
	if err := d.play(ctx); err != nil || o.Once {
		return err
	}
	d.printInvitation()
	<-ctx.Done()
	return d.err
}

func (d *demo) printf(format string, a ...any) {
	if d.err == nil {
		_, d.err = fmt.Fprintf(d.out, format, a...)
	}
}

func (d *demo) printAddresses(adminSocket string) {
	d.printf("front end      %s  (user app, no password, database bi)\n", d.frontEnd.Addr)
	d.printf("admin socket   %s\n", adminSocket)
	d.printf("fake Consul    http://%s/v1/health/service/%s\n", d.catalogue.consul.Addr, serviceName)
	for _, e := range d.catalogue.engines {
		d.printf("engine %s      %s\n", e.name, e.fake.Addr)
	}
}

// play runs a query of each class, drains an engine, runs a few more queries, and cancels the drain.
func (d *demo) play(ctx context.Context) error {
	for _, class := range Classes {
		if err := d.query(class); err != nil {
			return err
		}
	}
	drained := d.catalogue.engines[0]
	d.printf("\n%s is under maintenance now; the next lookups run on other engines.\n", drained.name)
	d.catalogue.drain(drained)
	if !d.catalogue.waitListed(ctx, demoEngines-1) {
		return fmt.Errorf("the front end did not list the engine as draining in time; its log:\n%s", d.frontEnd.Log())
	}
	for range 3 {
		if err := d.query(Classes[0]); err != nil {
			return err
		}
	}
	d.catalogue.undrain(drained)
	return d.err
}

// query runs one query and prints its rows.
func (d *demo) query(class Class) error {
	text := fmt.Sprintf("/* c=%s,i=%016x,d=%d */ SELECT id, engine, n FROM sales_17.orders",
		class.Name, rand.Uint64(), class.Timeout.Milliseconds())
	began := time.Now()
	rows, err := d.session.Query(text, began.Add(class.Timeout+answerTimeout))
	d.printf("\n> %s\n", text)
	if err != nil {
		return err
	}
	for _, row := range rows {
		d.printf("  %v\n", row)
	}
	d.printf("  %d rows in %v\n", len(rows), time.Since(began).Round(time.Millisecond))
	return d.err
}

// printInvitation prints a command for queries by hand.
func (d *demo) printInvitation() {
	_, port, _ := net.SplitHostPort(d.frontEnd.Addr)
	d.printf("\nThe engine is back in service. Try a MySQL client, for example:\n"+
		"  mysql --protocol=tcp -h 127.0.0.1 -P %s -u app --comments bi "+
		"-e \"/* c=lookup,i=$(openssl rand -hex 8),d=2500 */ SELECT * FROM sales_17.orders\"\n"+
		"Press Ctrl-C to end the demonstration.\n", port)
}
