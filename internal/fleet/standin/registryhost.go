package standin

import (
	"errors"
	"time"

	"basaltdrum/internal/fleet/stats"
)

// RegistrySpec are the lists of a registry, one for each service, and its addresses.
type RegistrySpec struct {
	Services  [][]ListEntry
	Addresses []int // the service whose list each address serves
}

// ChangeSpec is a change that makes a new version of a list.
type ChangeSpec struct {
	Service int
	Entries []ListEntry
}

// Changed is the version that a change has made.
type Changed struct {
	Rev  int64
	AtNS int64 // Unix time just before
}

// RegistryHost is the RPC service of the registry and the agents, for a parent process.
type RegistryHost struct{ registry *Registry }

// Start opens the addresses, and returns them.
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
func (h *RegistryHost) Change(spec ChangeSpec, changed *Changed) (err error) {
	changed.AtNS = time.Now().UnixNano()
	changed.Rev, err = h.registry.Change(spec.Service, spec.Entries)
	return err
}

// ChangeInTurn makes new versions one after another, in the order given.
func (h *RegistryHost) ChangeInTurn(specs []ChangeSpec, _ *struct{}) error {
	for _, spec := range specs {
		if _, err := h.registry.Change(spec.Service, spec.Entries); err != nil {
			return err
		}
	}
	return nil
}

// Silence begins or ends an outage of the registry, and returns when that was.
func (h *RegistryHost) Silence(on bool, atNS *int64) error {
	*atNS = time.Now().UnixNano()
	h.registry.Silence(on)
	return nil
}

// BreakWatches closes the connections of all open watches without an answer.
func (h *RegistryHost) BreakWatches(struct{}, *struct{}) error {
	h.registry.BreakWatches()
	return nil
}

// Traffic returns what was counted since the start.
func (h *RegistryHost) Traffic(_ struct{}, counted *stats.Snapshot) error {
	*counted = h.registry.Traffic.Snapshot()
	return nil
}
