package standin

import (
	"errors"
	"time"

	"basaltdrum/internal/fleet/stats"
)

// RegistrySpec describes the lists of a registry, one for each service, and its addresses.
type RegistrySpec struct {
	Services  [][]ListEntry
	Addresses []int // for each address, the index of the service whose list it serves
}

// ChangeSpec describes a change that makes a new version of a list.
type ChangeSpec struct {
	Service int
	Entries []ListEntry
}

// ChangeResult describes the version that a change has made.
type ChangeResult struct {
	Rev  int64
	AtNS int64 // Unix time just before the change
}

// RegistryHost is the RPC service of the registry and the agents, called by the parent process.
type RegistryHost struct{ registry *Registry }

// Start starts the registry, opens its addresses and returns them.
func (h *RegistryHost) Start(spec RegistrySpec, addresses *[]string) error {
	if h.registry != nil {
		return errors.New("registry: started twice")
	}
	h.registry = NewRegistry(spec.Services)
	for _, service := range spec.Addresses {
		address, err := h.registry.Listen(service)
		if err != nil {
			return err
		}
		*addresses = append(*addresses, address)
	}
	return nil
}

// Change makes a new version of a list.
func (h *RegistryHost) Change(spec ChangeSpec, changed *ChangeResult) (err error) {
	changed.AtNS = time.Now().UnixNano()
	changed.Rev, err = h.registry.Change(spec.Service, spec.Entries)
	return err
}

// ChangeInTurn makes the new versions one after another, in the given order.
func (h *RegistryHost) ChangeInTurn(specs []ChangeSpec, _ *struct{}) error {
	for _, spec := range specs {
		if _, err := h.registry.Change(spec.Service, spec.Entries); err != nil {
			return err
		}
	}
	return nil
}

// Silence starts or ends an outage of the registry, and returns the time of that.
func (h *RegistryHost) Silence(unresponsive bool, atNS *int64) error {
	*atNS = time.Now().UnixNano()
	h.registry.SetUnresponsive(unresponsive)
	return nil
}

// BreakWatches closes the connections of all open watches without a response.
func (h *RegistryHost) BreakWatches(struct{}, *struct{}) error {
	h.registry.BreakWatches()
	return nil
}

// Traffic returns the traffic since the start.
func (h *RegistryHost) Traffic(_ struct{}, snapshot *stats.Snapshot) error {
	*snapshot = h.registry.Traffic.Snapshot()
	return nil
}
