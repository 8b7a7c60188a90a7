// Command balancer-sim runs Balancers inside the simulator: it reads batches of events from standard input
// and writes one reply for each to standard output, in the protocol of package wire. It exits with status 0 when
// the input ends between two batches, and with status 1 and a line on standard error when the input breaks the
// protocol, when settings are out of range, or when a reply cannot be written.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "balancer-sim: %v\n", err)
		os.Exit(1)
	}
}

// run processes batches until the input ends. A reply is written completely or not at all.
func run(in io.Reader, out io.Writer) error {
	decoder := wire.NewDecoder(in)
	h := host{encoder: wire.NewEncoder(out), balancers: map[int]*balancer.Balancer{}}
	for {
		m, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handle(m); err != nil {
			return err
		}
	}
}

// host has a Balancer for each running instance. The instances share only the clock of the batch.
type host struct {
	encoder   *wire.Encoder
	balancers map[int]*balancer.Balancer // by the number of the instance
	now       time.Duration
}

// handle processes one message. An event for an instance that is not running is ignored.
func (h *host) handle(m wire.Message) error {
	switch m.Kind {
	case wire.BatchStart:
		h.now = m.Now
	case wire.InstanceStart:
		b, err := balancer.New(m.Settings, m.Seed)
		if err != nil {
			return fmt.Errorf("instance %d: %w", m.Instance, err)
		}
		h.balancers[m.Instance] = b
	case wire.InstanceStop:
		delete(h.balancers, m.Instance)
	case wire.InstanceEvent:
		if b := h.balancers[m.Instance]; b != nil {
			for _, action := range b.Handle(h.now, m.Event) {
				h.encoder.AddAction(m.Instance, action)
			}
		}
	case wire.Ignored:
	case wire.BatchEnd:
		return h.encoder.Flush()
	}
	return nil
}
