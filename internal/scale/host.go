package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"beechcart/internal/fleet"
)

// maxConcurrentJoins bounds how many simulated front ends of a host start at the same time, so that the start of a host
// does not itself overload the fleet.
const maxConcurrentJoins = 20

// closeTimeout bounds how long the members of a host take to leave.
const closeTimeout = 10 * time.Second

// host runs simulated members.
type host struct {
	config  *HostConfig
	members []*simulatedMember
	slots   chan struct{} // a member holds one while it starts
	running sync.WaitGroup
}

// RunHost reads a [HostConfig] from in, runs its members, and writes [HostReport] values to out, one a line, until in
// or ctx ends. It then waits until all members have left, and returns an error with the number of members that have
// not. The caller initializes the control log elsewhere ([fleet.Client.Init]), preferably before a host of front ends
// starts: like real front ends, simulated ones serve unregistered after a timeout, and go on trying to register.
func RunHost(ctx context.Context, in io.Reader, out io.Writer) error {
	lines := json.NewDecoder(in)
	lines.DisallowUnknownFields()
	var config HostConfig
	if err := lines.Decode(&config); err != nil {
		return fmt.Errorf("scale: host configuration: %w", err)
	}
	if err := config.Check(); err != nil {
		return err
	}
	h := newHost(&config)
	ctx, cancel := context.WithCancel(ctx)
	failed := h.start(ctx)
	err := h.serve(ctx, lines, json.NewEncoder(out), failed)
	cancel()
	return errors.Join(err, h.awaitEnd())
}

func newHost(config *HostConfig) *host {
	h := &host{config: config, slots: make(chan struct{}, maxConcurrentJoins)}
	for _, member := range config.Members {
		h.members = append(h.members, newSimulatedMember(config, member))
	}
	return h
}

// start starts all members. The returned channel receives an error for each member that cannot join the fleet.
func (h *host) start(ctx context.Context) <-chan error {
	failed := make(chan error, len(h.members))
	for i, member := range h.members {
		h.running.Add(1)
		go func() {
			defer h.running.Done()
			if err := member.run(ctx, h.slots); err != nil {
				failed <- fmt.Errorf("scale: members[%d]: %s: %w", i, member.config.Name, err)
			}
		}()
	}
	return failed
}

// serve applies orders and writes reports until ctx or the orders end, or a member fails to join.
func (h *host) serve(ctx context.Context, lines *json.Decoder, out *json.Encoder, failed <-chan error) error {
	orders, ended := make(chan HostOrder), make(chan error, 1)
	go func() { ended <- readOrders(ctx, lines, orders) }()
	interval := time.NewTicker(time.Duration(h.config.ReportMillis) * time.Millisecond)
	defer interval.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-ended:
			return errors.Join(err, out.Encode(h.report()))
		case err := <-failed:
			return err
		case order := <-orders:
			if err := h.apply(order); err != nil {
				return err
			}
		case <-interval.C:
			if err := out.Encode(h.report()); err != nil {
				return fmt.Errorf("scale: host report: %w", err)
			}
		}
	}
}

// readOrders sends each order of lines to orders, until lines or ctx ends.
func readOrders(ctx context.Context, lines *json.Decoder, orders chan<- HostOrder) error {
	for {
		var order HostOrder
		if err := lines.Decode(&order); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("scale: host order: %w", err)
		}
		select {
		case orders <- order:
		case <-ctx.Done():
			return nil
		}
	}
}

// apply blocks, at each member, the addresses that the order cuts its zone off from.
func (h *host) apply(order HostOrder) error {
	blockedHosts, err := h.config.blockedHosts(order)
	if err != nil {
		return err
	}
	for _, member := range h.members {
		member.wire.Block(blockedHosts[member.config.Zone])
	}
	return nil
}

// blockedHosts returns, by zone, the hosts to which the zone's members must send nothing.
func (c *HostConfig) blockedHosts(order HostOrder) (map[string]fleet.HostSet, error) {
	hostsOf := map[string][]string{}
	for _, zone := range c.AddressByZone {
		hostsOf[zone.Zone] = append(hostsOf[zone.Zone], zone.Hosts...)
	}
	blocked := map[string]fleet.HostSet{}
	for from, zones := range order.Blocked {
		blocked[from] = fleet.HostSet{}
		for _, to := range zones {
			hosts, known := hostsOf[to]
			if !known {
				return nil, fmt.Errorf("scale: blocked: %s: found zone %q, allowed is one of address_by_zone", from, to)
			}
			for _, address := range hosts {
				blocked[from][address] = true
			}
		}
	}
	return blocked, nil
}

// awaitEnd waits until all members have left, for closeTimeout at most.
func (h *host) awaitEnd() error {
	left := make(chan struct{})
	go func() {
		h.running.Wait()
		close(left)
	}()
	select {
	case <-left:
		return nil
	case <-time.After(closeTimeout):
		remaining := 0
		for _, member := range h.members {
			if member.current().member != nil {
				remaining++
			}
		}
		return fmt.Errorf("scale: %d members have not left within %v", remaining, closeTimeout)
	}
}
