package consul

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// catalogEntry is the body of PUT /v1/catalog/register.
type catalogEntry struct {
	ID, Node, Address, Datacenter string
	NodeMeta                      map[string]string
	Service                       *catalogService
	Check                         *Check
	Checks                        []Check
}

type catalogService struct {
	ID, Service, Address string
	Port                 int
	Tags                 []string
	Meta                 map[string]string
	Weights              Weights
}

// catalogRegister handles PUT /v1/catalog/register.
func (s *Server) catalogRegister(w http.ResponseWriter, r *http.Request) {
	var body catalogEntry
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Node == "" || body.Service == nil {
		http.Error(w, "Must provide node and service", http.StatusBadRequest)
		return
	}
	if body.Check != nil {
		body.Checks = append(body.Checks, *body.Check)
	}
	node := Node{body.ID, body.Node, body.Address, body.Datacenter, body.NodeMeta}
	s.Register(node, body.Service.service(), body.Checks...)
	fmt.Fprint(w, "true")
}

func (c *catalogService) service() Service {
	v := Service{ID: c.ID, Service: c.Service, Tags: c.Tags, Address: c.Address, Port: c.Port, Meta: c.Meta,
		Weights: c.Weights}
	if v.ID == "" {
		v.ID = c.Service
	}
	return v
}

// catalogDeregister handles PUT /v1/catalog/deregister.
func (s *Server) catalogDeregister(w http.ResponseWriter, r *http.Request) {
	var body struct{ Node, ServiceID string }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Deregister(body.Node, body.ServiceID)
	fmt.Fprint(w, "true")
}

// catalog handles GET /v1/catalog/service/NAME, whose rows have no checks.
func (s *Server) catalog(w http.ResponseWriter, r *http.Request) {
	type row struct {
		ID, Node, Address, Datacenter          string
		NodeMeta                               map[string]string
		ServiceID, ServiceName, ServiceAddress string
		ServicePort                            int
		ServiceTags                            []string
		ServiceMeta                            map[string]string
		ServiceWeights                         Weights
		CreateIndex, ModifyIndex               uint64
	}
	snap, _, ok := s.awaitChange(r, r.PathValue("name"))
	if !ok {
		return
	}
	rows := []row{}
	for _, instance := range snap.list {
		rows = append(rows, row{
			instance.Node.ID, instance.Node.Node, instance.Node.Address, instance.Node.Datacenter, instance.Node.Meta,
			instance.Service.ID, instance.Service.Service, instance.Service.Address, instance.Service.Port,
			instance.Service.Tags, instance.Service.Meta, instance.Service.Weights,
			instance.Service.CreateIndex, instance.Service.ModifyIndex,
		})
	}
	s.writeList(w, snap.index, Faults{}, rows, nil)
}
