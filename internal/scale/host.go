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

// joinsAtOnce bounds how many hollow front ends of a host start at the same time, so that starting a host is no storm
// of its own.
const joinsAtOnce = 20

// closeWithin bounds how long the members of a host take to leave.
const closeWithin = 10 * time.Second

// host runs hollow members.
type host struct {
	config  *HostConfig
	members []*hollow
	slots   chan struct{} // a member holds one while it starts
	running sync.WaitGroup
}

// RunHost reads a [HostConfig] from in, runs its members, and writes a [HostReport] a line to out, until in or ctx
// ends. All members have left then, or an error tells how many have not. The fleet's log must have been begun
// elsewhere ([fleet.Client.Init]), best before a host of front ends starts: they serve without it after a while, as
// real ones do, and go on asking.
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
	h := &host{config: config, slots: make(chan struct{}, joinsAtOnce)}
	for _, member := range config.Members {
		h.members = append(h.members, newHollow(config, member))
	}
	return h
}

// start starts all members, and returns where errors of those that can't join are sent.
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

// serve carries out orders and reports until one of its inputs ends.
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

// readOrders hands orders over until there are no more.
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

// apply restricts each member to what the order lets it reach.
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

// blockedHosts lists, by the zone that is cut, which hosts its members send nothing to.
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

// awaitEnd waits until all members have left.
func (h *host) awaitEnd() error {
	left := make(chan struct{})
	go func() {
		h.running.Wait()
		close(left)
	}()
	select {
	case <-left:
		return nil
	case <-time.After(closeWithin):
		remaining := 0
		for _, member := range h.members {
			if member.current().member != nil {
				remaining++
			}
		}
		return fmt.Errorf("scale: %d members have not left within %v", remaining, closeWithin)
	}
}
