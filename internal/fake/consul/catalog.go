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

// catalogRegister answers PUT /v1/catalog/register.
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

// catalogDeregister answers PUT /v1/catalog/deregister.
func (s *Server) catalogDeregister(w http.ResponseWriter, r *http.Request) {
	var body struct{ Node, ServiceID string }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Deregister(body.Node, body.ServiceID)
	fmt.Fprint(w, "true")
}

// catalog answers GET /v1/catalog/service/NAME, which knows no checks.
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
	for _, in := range snap.list {
		rows = append(rows, row{in.Node.ID, in.Node.Node, in.Node.Address, in.Node.Datacenter, in.Node.Meta, in.Service.ID,
			in.Service.Service, in.Service.Address, in.Service.Port, in.Service.Tags, in.Service.Meta, in.Service.Weights,
			in.Service.CreateIndex, in.Service.ModifyIndex})
	}
	s.writeList(w, snap.index, Faults{}, rows, nil)
}
