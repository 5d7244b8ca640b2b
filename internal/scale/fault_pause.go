package scale

import (
	"context"
	"fmt"
	"math"
	"syscall"
	"time"
)

// shuffledHosts returns the hosts without a control replica, in an order drawn from the seed.
func (r *run) shuffledHosts() []*hostProcess {
	list := append([]*hostProcess(nil), r.hosts[r.options.Control:]...)
	r.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// hostsForShare returns the shortest prefix of list whose hosts run the given share of the fleet's members, and at
// least one host.
func (r *run) hostsForShare(list []*hostProcess, share float64) []*hostProcess {
	want := int(math.Round(share * float64(r.options.Members)))
	members := 0
	for i, h := range list {
		if members += len(h.plan.members); members >= want {
			return list[:i+1]
		}
	}
	return list
}

func membersOf(hosts []*hostProcess) (members int) {
	for _, h := range hosts {
		members += len(h.plan.members)
	}
	return members
}

// namesOf lists the members of a host.
func namesOf(h *hostProcess) (names []string) {
	for _, member := range h.plan.members {
		names = append(names, member.Name)
	}
	return names
}

// stopHosts stops hosts with SIGSTOP, waits for pause, and continues them.
func stopHosts(ctx context.Context, hosts []*hostProcess, pause time.Duration) error {
	for _, h := range hosts {
		if err := h.signal(syscall.SIGSTOP); err != nil {
			return err
		}
	}
	sleepFor(ctx, pause)
	for _, h := range hosts {
		if err := h.signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	return nil
}

// injectPause stops a share of all hosts at the same time, for long enough that their members are suspected.
func injectPause(ctx context.Context, r *run, found *FaultResult) error {
	hosts := r.hostsForShare(r.shuffledHosts(), r.options.PauseShare)
	found.Members = membersOf(hosts)
	found.Played = fmt.Sprintf("%d hosts with %d members are stopped together for %d ms", len(hosts), found.Members,
		r.options.PauseMillis)
	return stopHosts(ctx, hosts, time.Duration(r.options.PauseMillis)*time.Millisecond)
}

const stopFor = 10 * time.Second

// injectStop stops one host for longer than its members take to be suspected.
func injectStop(ctx context.Context, r *run, found *FaultResult) error {
	hosts := r.shuffledHosts()
	if len(hosts) == 0 {
		return errNoHosts
	}
	found.Members = membersOf(hosts[:1])
	found.Played = fmt.Sprintf("%s with %d members is stopped for %v", hosts[0].plan.name, found.Members, stopFor)
	watch := r.watchSuspicion(ctx, namesOf(hosts[0]), stopFor)
	err := stopHosts(ctx, hosts[:1], stopFor)
	found.Notice = watch.await()
	return err
}
