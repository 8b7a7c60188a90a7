package membudget

import "sync"

// Reservation is the memory that one open request holds: its body, and the body of its response. It has several
// holders, because an attempt may hold the body for longer than the client's connection does. The memory is given back
// once the last holder has released it.
//
// A nil Reservation is that of a request without a budget: its methods do nothing and have no limit.
type Reservation struct {
	budget *Budget

	mu      sync.Mutex
	holders int
	bytes   int64
	slots   int // slots that the request holds for its responses
}

// Grow reserves more bytes, and reports whether the limit allows it. The caller is a holder.
func (r *Reservation) Grow(bytes int64) bool {
	if r == nil {
		return true
	}
	if !r.budget.grow(bytes) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes += bytes
	return true
}

// Share adds a holder and returns the reservation, which the holder has to release. It returns nil if the last holder
// has released the reservation: its request is over.
func (r *Reservation) Share() *Reservation {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holders == 0 {
		return nil
	}
	r.holders++
	return r
}

// Release ends the hold of one holder.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.mu.Lock()
	r.holders--
	last := r.holders == 0
	r.mu.Unlock()
	if last {
		r.budget.release(r.bytes, r.slots) // without a holder, nothing changes the fields
	}
}

// AcquireResponse takes a slot for the body of a response. If none is free, it calls onWait and waits for one until
// done is closed. It reports whether a slot was taken. The caller is a holder.
func (r *Reservation) AcquireResponse(done <-chan struct{}, onWait func()) bool {
	if r == nil {
		return true
	}
	select {
	case r.budget.slots <- struct{}{}:
	default:
		onWait()
		select {
		case r.budget.slots <- struct{}{}:
		case <-done:
			return false
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots++
	return true
}

// ReleaseResponse gives back the slot of a response that is not forwarded.
func (r *Reservation) ReleaseResponse() {
	if r == nil {
		return
	}
	r.mu.Lock()
	r.slots--
	r.mu.Unlock()
	<-r.budget.slots
}
