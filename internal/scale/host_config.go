package scale

import (
	"errors"
	"fmt"
	"net"
)

// Check returns an error that names the first invalid field. A configuration without members is valid: such a host
// measures the overhead of a host process.
func (c *HostConfig) Check() error {
	if c.ReportMillis <= 0 {
		return fmt.Errorf("scale: report_millis: found %d, allowed is 1 or more", c.ReportMillis)
	}
	if !(c.RequestsASec >= 0) {
		return fmt.Errorf("scale: requests_a_sec: found %v, allowed is 0 or more", c.RequestsASec)
	}
	if len(c.Members) > 0 && c.Revision == "" {
		return errors.New("scale: revision: found none, allowed is a name")
	}
	for i, engine := range c.Engines {
		if engine.Name == "" {
			return fmt.Errorf("scale: engines[%d]: name: found none, allowed is a name", i)
		}
		if !(engine.Cores >= 0) {
			return fmt.Errorf("scale: engines[%d]: cores: found %v, allowed is 0 or more", i, engine.Cores)
		}
	}
	for i, zone := range c.AddressByZone {
		for k, address := range zone.Hosts {
			if net.ParseIP(address) == nil {
				return fmt.Errorf("scale: address_by_zone[%d]: hosts[%d]: found %q, allowed is an IP address", i, k, address)
			}
		}
	}
	return c.checkMembers()
}

func (c *HostConfig) checkMembers() error {
	replicas := map[string]bool{}
	for _, replica := range c.Replicas {
		replicas[replica.Name] = true
	}
	seen := map[string]bool{}
	for i, member := range c.Members {
		if member.Name == "" || seen[member.Name] {
			return fmt.Errorf("scale: members[%d]: name: found %q, allowed is a name that no other member has", i, member.Name)
		}
		seen[member.Name] = true
		if member.Zone == "" {
			return fmt.Errorf("scale: members[%d]: zone: found none, allowed is a name", i)
		}
		address, _, err := net.SplitHostPort(member.Gossip)
		if err != nil || net.ParseIP(address) == nil {
			return fmt.Errorf("scale: members[%d]: gossip: found %q, allowed is IP:PORT", i, member.Gossip)
		}
		if replicas[member.Name] != (member.Dir != "") {
			return fmt.Errorf("scale: members[%d]: dir: found %q, allowed is a directory for replicas, and none for "+
				"others", i, member.Dir)
		}
	}
	return nil
}
