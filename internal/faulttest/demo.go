package faulttest

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"beechcart/internal/fake/consul"
)

// DemoOptions are what a demonstration takes.
type DemoOptions struct {
	Program string // the front end to start
	Once    bool   // end after the queries
	Out     io.Writer
}

// Demo starts a front end, four stand-in engines and a stand-in Consul, runs a few queries, and goes on until ctx ends.
func Demo(ctx context.Context, o DemoOptions) error {
	dir, err := os.MkdirTemp("", "demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	w := &ward{wrote: map[string]time.Time{}, ready: map[string]bool{}}
	if w.cat, err = consul.Start("127.0.0.1:0", nil); err != nil {
		return err
	}
	defer w.cat.Close()
	for i := range 4 {
		u := &unit{name: fmt.Sprintf("e%d", i)}
		if err := w.start(u); err != nil {
			return err
		}
		defer u.e.Kill()
		w.engines = append(w.engines, u)
		w.register(u)
	}
	f, err := StartFront(FrontOptions{Program: o.Program, Dir: dir, Name: "demo", MemoryMB: 192, Sockets: 1024, Line: w.line,
		Settings: fmt.Sprintf(`{"schema":1,"source":"consul","consul":{"addresses":[%q]},"admin_socket":%q}`, w.cat.Addr, dir+"/admin.sock")})
	if err != nil {
		return err
	}
	defer func() { _ = f.Stop() }()
	if !w.settled(ctx, 4) {
		return fmt.Errorf("the front end has not taken the list\n%s", f.Log())
	}
	fmt.Fprintf(o.Out, "front end      %s  (user app, no password, database bi)\nadmin socket   %s/admin.sock\nstand-in Consul http://%s/v1/health/service/engine\n", f.Addr, dir, w.cat.Addr)
	for _, u := range w.engines {
		fmt.Fprintf(o.Out, "engine %s      %s\n", u.name, u.e.Addr)
	}
	s, err := Dial(f.Addr, 3*time.Second)
	if err != nil {
		return err
	}
	defer s.c.Close()
	ask := func(c Class) error {
		id := fmt.Sprintf("%016x", rand.Uint64())
		text := fmt.Sprintf("/* c=%s,i=%s,d=%d */ SELECT id, engine, n FROM sales_17.orders", c.Name, id, c.Wait.Milliseconds())
		began := time.Now()
		rows, err := s.Query(text, began.Add(c.Wait+slack))
		fmt.Fprintf(o.Out, "\n> %s\n", text)
		if err != nil {
			return err
		}
		for _, row := range rows {
			fmt.Fprintf(o.Out, "  %v\n", row)
		}
		fmt.Fprintf(o.Out, "  %d rows in %v\n", len(rows), time.Since(began).Round(time.Millisecond))
		return nil
	}
	for _, c := range Classes {
		if err := ask(c); err != nil {
			return err
		}
	}
	fmt.Fprintf(o.Out, "\n%s goes into maintenance; the next lookups go elsewhere.\n", w.engines[0].name)
	w.drain(w.engines[0], true)
	if !w.settled(ctx, 3) {
		return fmt.Errorf("the front end has not taken the drain\n%s", f.Log())
	}
	for range 3 {
		if err := ask(Classes[0]); err != nil {
			return err
		}
	}
	w.drain(w.engines[0], false)
	if o.Once {
		return nil
	}
	fmt.Fprintf(o.Out, "\nIt is back. Try a MySQL client, for example:\n  mysql --protocol=tcp -h 127.0.0.1 -P %s -u app --comments bi -e \"/* c=lookup,i=$(openssl rand -hex 8),d=2500 */ SELECT * FROM sales_17.orders\"\nCtrl-C ends it.\n",
		f.Addr[len("127.0.0.1:"):])
	<-ctx.Done()
	return nil
}
