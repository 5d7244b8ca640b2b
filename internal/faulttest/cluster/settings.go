package cluster

import (
	"encoding/json"
	"errors"

	"beechcart/internal/fleet"
)

const (
	// The clock of a member is ahead by clockSkewStepMillis times its number modulo clockSkewSteps.
	clockSkewSteps      = 3
	clockSkewStepMillis = 100

	// memberWeight is the weight in the settings of each member, in requests a second.
	memberWeight = 100

	// revisionPlaceholder is replaced with the revision of a process in the settings of its member.
	revisionPlaceholder = "%REVISION%"
)

// fleetSettings is the fleet part of a front end's settings, with the keys of the operators' settings file.
type fleetSettings struct {
	Gossip     string           `json:"gossip"`
	Zone       string           `json:"room"`
	Revision   string           `json:"revision"`
	Weight     float64          `json:"weight"`
	KeyFile    string           `json:"key_file"`
	Routes     []string         `json:"routes"`
	SkewMillis int              `json:"ahead_ms"`
	Replicas   []replicaSetting `json:"keepers"`
	Dir        string           `json:"dir,omitempty"`
	DiskFaults string           `json:"disk_faults,omitempty"`
}

type replicaSetting struct {
	Name   string `json:"name"`
	Log    string `json:"log"`
	API    string `json:"ask"`
	Gossip string `json:"gossip"`
}

// settingsOf returns the fleet settings of a member as JSON. The member dials all other members through relays of its
// own.
func (c *Cluster) settingsOf(m *Member, replicas []fleet.ReplicaAddress, keyFile string) (string, error) {
	routes, err := c.routesOf(m, replicas)
	if err != nil {
		return "", err
	}
	s := fleetSettings{
		Gossip:     m.host + gossipPort,
		Zone:       m.Zone,
		Revision:   revisionPlaceholder,
		Weight:     memberWeight,
		KeyFile:    keyFile,
		Routes:     routes,
		SkewMillis: m.Number % clockSkewSteps * clockSkewStepMillis,
	}
	for _, r := range replicas {
		s.Replicas = append(s.Replicas, replicaSetting{Name: r.Name, Log: r.LogAddress, API: r.APIAddress,
			Gossip: r.GossipAddress})
	}
	if m.ControlReplica {
		s.Dir, s.DiskFaults = m.dir, m.diskFaultFile
	}
	text, err := json.Marshal(s)
	return string(text), err
}

// routesOf starts the relays of a member, and returns its routes in the form address=relay address.
func (c *Cluster) routesOf(m *Member, replicas []fleet.ReplicaAddress) (routes []string, err error) {
	add := func(to, address string, protocols Protocols) error {
		if to == m.Name {
			return nil
		}
		relayAddress, err := c.options.Network.Route(m.Name, to, address, protocols)
		routes = append(routes, address+"="+relayAddress)
		return err
	}
	for _, other := range c.Members {
		if err := add(other.Name, other.host+gossipPort, TCPAndUDP); err != nil {
			return nil, err
		}
	}
	for _, r := range replicas {
		if err := errors.Join(add(r.Name, r.LogAddress, TCPOnly), add(r.Name, r.APIAddress, TCPOnly)); err != nil {
			return nil, err
		}
	}
	return routes, nil
}
