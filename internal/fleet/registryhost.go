package fleet

import (
	"errors"
	"time"
)

// RegistrySpec asks for a registry with a list for each service, and addresses for the lists.
type RegistrySpec struct {
	Services  [][]ListEntry
	Addresses []int // the service that each address tells of
}

// ChangeSpec asks for a new version of a list.
type ChangeSpec struct {
	Service int
	Entries []ListEntry
}

// Changed says what version came of it, and when.
type Changed struct {
	Rev  int64
	AtNS int64 // Unix time just before
}

// RegistryHost is the host of the registry and the agents, as a service for a parent process.
type RegistryHost struct{ registry *Registry }

// Start opens the addresses.
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

// Silence begins or ends a silence, and tells when.
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

// Traffic tells what passed.
func (h *RegistryHost) Traffic(_ struct{}, counted *Counted) error {
	*counted = h.registry.Traffic.Counted()
	return nil
}
