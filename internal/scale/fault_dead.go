package scale

import (
	"context"
	"fmt"
)

// injectDeath kills a host, waits until all of its members are suspected or the wait times out, and restarts the host.
func injectDeath(ctx context.Context, r *run, found *FaultResult) error {
	hosts := r.shuffledHosts()
	if len(hosts) == 0 {
		return errNoHosts
	}
	victim := hosts[0]
	found.Members = membersOf(hosts[:1])
	watch := r.watchSuspicion(ctx, namesOf(victim), r.options.NoticeWithin)
	victim.kill()
	found.Notice = watch.await()
	found.Played = fmt.Sprintf("%s with %d members is killed, and started again when they are suspected",
		victim.plan.name, found.Members)
	return victim.start()
}
