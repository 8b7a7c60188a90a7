package node

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Times of a watch. The worst that they make of a call that was lost comes to less than toldLatest: from the
// moment when discovery falls silent, the call is given up on after hold and grace; a dial and a head that
// never come cost probeWait and probeInterval once more where lists are pushed; where they are asked for, at
// most probeInterval or a quarter of ask-within-ms (6 s at the most) goes by before the next call, whichever
// is longer. TestLostCallIsMadeUpForInTime adds them up.
//
// An agent that is silent answers nothing, not even once it is back, so a call is given
// up on a little after its hold is over. Where lists are pushed, what the agent gets at discovery's return
// counts as told at once, and servers that drain must be left alone 250 ms later: the hold is shorter than
// an outage, so that one is noticed before it is over, and from then on the agent, which is local and
// answers at no cost, is probed several times within those 250 ms.
const (
	pushHold          = time.Second
	pushGrace         = 250 * time.Millisecond
	pollHold          = 2 * time.Second // discovery itself bears these calls
	pollGrace         = 500 * time.Millisecond
	agentCheckTimeout = 150 * time.Millisecond // for the head of an answer that needs no hold
	retryInterval     = 100 * time.Millisecond // from a failure that came at once to the next call
	// From the start of a call that was answered at once to the start of the next. While a long list changes many
	// times a second, several changes share a call, which costs a node more than what the call tells. A watch goes
	// on for 200 ms without a call, and what changes meanwhile must be in force 250 ms later.
	watchInterval  = 20 * time.Millisecond
	startupWait    = time.Second     // that a new process waits for the list before it counts as ready
	notifiedWithin = 6 * time.Second // after which a change counts as told, heard or not
	maxListBytes   = 4 << 20         // bytes of a list; one of 3,200 servers that is indented has about 1 MB
	// A connection that never comes up holds its place among those to the agent until its dial is given up.
	agentDialTimeout = 2 * agentCheckTimeout
	maxAgentConns    = 8
)

// push watches from the start until ctx ends. The next call follows each answer within watchInterval: a watch is
// lost when it is late.
func (d *discovery) runPushed(ctx context.Context) {
	late := time.AfterFunc(d.startupWait, func() { d.post(discoveryUnresponsive{}) })
	defer late.Stop()
	doubt := true // whether the agent answers at all
	var at *registryAddress
	for ctx.Err() == nil {
		p := d.currentAddress()
		doubt = doubt || p != at
		at = p
		answers, err := d.watchOnce(ctx, p, doubt)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil || answers || p.ctx.Err() != nil:
			doubt = false
			continue
		case !doubt:
			d.log.Warn("discovery does not answer; asking again", "error", err)
			doubt = true
		}
		select {
		case <-ctx.Done():
		case <-p.ctx.Done():
		case <-d.after(retryInterval):
		}
	}
}

// ask serves Subscribes until ctx ends: a watch that goes on until it fails, which is reported once. What the
// module waits for then is a part of ask-within-ms, which may be next to nothing, and a refused call ends at
// once: so that no two follow each other at once, the next one waits for probeInterval, or until the watch moves.
func (d *discovery) runPolled(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.subscribeSignal:
		}
		for d.pollOnce(ctx) {
		}
	}
}

// askOnce makes one call, and tells whether another is to follow unasked. A call that failed by local trouble
// never came to discovery: the module need not wait after it, and is not told.
func (d *discovery) pollOnce(ctx context.Context) (again bool) {
	p := d.currentAddress()
	_, err := d.watchOnce(ctx, p, false)
	if err == nil || p.ctx.Err() != nil || ctx.Err() != nil {
		return ctx.Err() == nil
	}
	again = isLocalDialError(err)
	d.log.Warn("the subscription failed", "error", err)
	if !again {
		d.post(subscriptionFailed{})
	}
	select {
	case <-ctx.Done():
	case <-p.ctx.Done():
	case <-d.after(retryInterval):
	}
	return again && ctx.Err() == nil
}

// watch makes one call and posts what it tells. In doubt, the agent is probed beside it: once it answers
// that, the call is known to be lost and is dropped, and answers is set.
//
// It returns watchInterval after it was called or later, if the call succeeds, so that calls in a row are paced.
func (d *discovery) watchOnce(ctx context.Context, p *registryAddress, doubt bool) (answers bool, err error) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, d.hold+d.grace)
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	if doubt {
		probed, from := make(chan bool, 1), p.version
		go func() {
			ok := d.checkAgent(ctx, p, from)
			probed <- ok
			if ok {
				cancel()
			}
		}()
		defer func() { cancel(); answers = <-probed }()
	}
	if err := d.receive(ctx, p); err != nil {
		return false, err
	}
	sleep(ctx, watchInterval-time.Since(started))
	return false, nil
}

// take makes one call and posts what it tells.
func (d *discovery) receive(ctx context.Context, p *registryAddress) error {
	resp, err := d.get(ctx, p, p.version, d.hold)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("watch: status %d", resp.StatusCode)
	}
	body := newListBody(resp.Body)
	l, err := readList(body)
	if body.err != nil {
		return fmt.Errorf("watch: %w", body.err)
	}
	if err == nil && !l.complete && l.version < p.version {
		err = fmt.Errorf("list: rev %d comes after %d", l.version, p.version)
	}
	if err != nil {
		p.version = -1 // what the dropped answer told is missing: the whole list mends that
		return err
	}
	p.version = l.version
	if !l.complete && len(l.entries) == 0 {
		d.postFrom(p, listConfirmed{}) // a hold that ended without news
		return nil
	}
	d.postFrom(p, listReceived{list: l})
	return nil
}

// postFrom posts what a place told, unless the watch has moved elsewhere.
func (d *discovery) postFrom(p *registryAddress, e event) {
	if p.ctx.Err() == nil {
		d.post(e)
	}
}
