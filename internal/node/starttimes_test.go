package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"basaltdrum/balancer"
	"basaltdrum/internal/testutil"
	"basaltdrum/internal/upstream"
)

// clockSteps are steps of the wall clock, some of them there and back.
var clockSteps = [][]time.Duration{
	{0},
	{time.Second},
	{-time.Second},
	{time.Minute},
	{-time.Minute},
	{time.Hour},
	{-time.Hour},
	{time.Hour, -time.Hour},
	{-time.Hour, time.Hour},
	{-time.Minute, time.Minute, time.Hour},
}

// stepMoment is when the wall clock is stepped, as seen from the start of a server.
type stepMoment string

const (
	beforeTheStart stepMoment = "before the start"
	beforeTheList  stepMoment = "before the list" // that reports the start
	afterTheList   stepMoment = "after the list"
)

// clockStepRow is a start of a server near which the wall clock is stepped.
type clockStepRow struct {
	moment           stepMoment
	steps            []time.Duration
	complete, pushed bool // how the list that reports the start comes
}

// A server's start is known in the node's monotonic time, whether the wall clock is stepped before the start,
// between it and the list that reports it, or after that list. Receiving the same list again changes nothing.
func TestStartTimesSurviveClockSteps(t *testing.T) {
	for _, moment := range []stepMoment{beforeTheStart, beforeTheList, afterTheList} {
		for _, complete := range []bool{true, false} {
			for _, pushed := range []bool{true, false} {
				for _, steps := range clockSteps {
					row := clockStepRow{moment, steps, complete, pushed}
					t.Run(fmt.Sprintf("%s,complete=%v,pushed=%v,%v", moment, complete, pushed, steps), row.run)
				}
			}
		}
	}
}

// run has a server restart, and the list that reports it received several times.
func (row clockStepRow) run(t *testing.T) {
	const reportDelay = 500 * time.Millisecond // from the start to the list that reports it
	const otherServer = "other"                // never restarts
	l := newSimulatedLoop(t, row.pushed)
	l.receiveComplete(unchangingEntry(otherServer), testutil.StartedListEntry("s", l.machine.BootMS()-1e6))
	l.machine.Advance(10 * time.Second)
	row.stepClock(l, beforeTheStart)
	started, entries := l.clock.Now(), []string{testutil.StartedListEntry("s", l.machine.BootMS())}
	if row.complete {
		entries = append(entries, unchangingEntry(otherServer))
	}
	row.stepClock(l, beforeTheList)
	l.machine.Advance(reportDelay)
	l.receive(row.complete, entries...)
	if got := l.endpoints.StartedAt("s"); got != started {
		t.Errorf("started at %v, taken for %v", started, got)
	}
	for range 3 {
		row.stepClock(l, afterTheList)
		l.machine.Advance(time.Second)
		l.receive(row.complete, entries...)
		if got := l.endpoints.StartedAt("s"); got != started {
			t.Errorf("started at %v, taken for %v when it is listed again", started, got)
		}
	}
}

// stepClock makes the row's steps if this is their moment, and lets as much time pass if it isn't.
func (row clockStepRow) stepClock(l *simulatedLoop, now stepMoment) {
	for _, step := range row.steps {
		if now == row.moment {
			l.machine.StepWallClock(step)
		}
		l.machine.Advance(10 * time.Millisecond)
	}
}

// hourMS is an hour in the unit of boot_ms.
const hourMS = int64(time.Hour / time.Millisecond)

// uncertainStarts are starts of the server s1 whose time can't be known for certain.
var uncertainStarts = []struct {
	name string
	do   func(l *simulatedLoop) // s1 starts in it or before
	want time.Duration          // after the process's start; negative: long before
}{
	{"in the future", func(l *simulatedLoop) {
		l.machine.Advance(2 * time.Second)
		l.receiveComplete(testutil.StartedListEntry("s1", l.machine.BootMS()+hourMS))
	}, 2 * time.Second},
	{"beyond all times", func(l *simulatedLoop) {
		l.machine.Advance(2 * time.Second)
		l.receiveComplete(testutil.StartedListEntry("s1", 1e13))
	}, 2 * time.Second},
	{"a moment in the future is now, though another offset makes it an hour ago", func(l *simulatedLoop) {
		l.machine.StepWallClock(-time.Hour)
		l.machine.Advance(2 * time.Second)
		l.receiveComplete(testutil.StartedListEntry("s1", l.machine.BootMS()+50))
	}, 2 * time.Second},
	{"before the process, and before the clock was set back", func(l *simulatedLoop) {
		boot := l.machine.BootMS() - 20_000
		l.machine.StepWallClock(-time.Hour)
		l.machine.Advance(2 * time.Second)
		l.receiveComplete(testutil.StartedListEntry("s1", boot))
	}, -20 * time.Second},
	{"either of two times, as the clock was set back by less than its age", func(l *simulatedLoop) {
		boot := l.machine.BootMS() - 20_000
		l.machine.StepWallClock(-5 * time.Second)
		l.machine.Advance(2 * time.Second)
		l.receiveComplete(testutil.StartedListEntry("s1", boot))
	}, -15 * time.Second},
	{"in the list that the node last had", func(l *simulatedLoop) {
		l.useCached(testutil.StartedListEntry("s1", l.machine.BootMS()-3000))
		l.machine.StepWallClock(time.Hour)
		l.machine.Advance(2 * time.Second)
		l.receiveComplete(testutil.StartedListEntry("s1", l.machine.BootMS()-3000-2000-hourMS))
	}, -3 * time.Second},
	{"before the process, whose clock was off at its start", func(l *simulatedLoop) {
		boot := l.machine.BootMS() - 3000
		l.machine.StepWallClock(time.Hour) // it is right from now on
		l.machine.Advance(2 * time.Second)
		l.receiveComplete(testutil.StartedListEntry("s1", boot+hourMS))
	}, -3 * time.Second},
	{"since the list before, under a clock that the node never saw", func(l *simulatedLoop) {
		l.receiveComplete(testutil.StartedListEntry("s1", 0))
		l.machine.Advance(time.Second)
		l.receiveChanges(testutil.StartedListEntry("s2", 0))
		l.machine.Advance(time.Second)
		l.receiveChanges(testutil.StartedListEntry("s1", l.machine.BootMS()-hourMS))
	}, time.Second},
	{"since a watch that ended without a change", func(l *simulatedLoop) {
		l.receiveComplete(testutil.StartedListEntry("s1", 0))
		l.machine.Advance(time.Second)
		l.handleEvent(listConfirmed{})
		l.machine.Advance(time.Second)
		l.receiveChanges(testutil.StartedListEntry("s1", l.machine.BootMS()-hourMS))
	}, time.Second},
	{"new in the list: it may have run all the while", func(l *simulatedLoop) {
		l.receiveComplete(testutil.StartedListEntry("s2", 0))
		l.machine.Advance(2 * time.Second)
		l.receiveChanges(testutil.StartedListEntry("s1", l.machine.BootMS()-10_000))
	}, -8 * time.Second},
	{"since the list that the node last had, which may be old", func(l *simulatedLoop) {
		l.useCached(testutil.StartedListEntry("s1", 0))
		l.machine.Advance(2 * time.Second)
		l.receiveComplete(testutil.StartedListEntry("s1", l.machine.BootMS()-10_000))
	}, -8 * time.Second},
}

// Where the clock offsets that were observed leave the start uncertain, the node relies on the lists that it has
// seen, and otherwise assumes the latest start that is possible.
func TestUncertainStartTimesCountAsLate(t *testing.T) {
	for _, row := range uncertainStarts {
		t.Run(row.name, func(t *testing.T) {
			l := newSimulatedLoop(t, true)
			row.do(l)
			if got := l.endpoints.StartedAt("s1") - l.processStart(); got != row.want {
				t.Errorf("taken to have started at %v, want %v", got, row.want)
			}
		})
	}
}

// Two starts of a server have different times for the module, even if both can only be placed at the present
// moment: what was learned of the first instance must be forgotten.
func TestEachStartHasADistinctTime(t *testing.T) {
	l := newSimulatedLoop(t, true)
	seen := map[time.Duration]bool{}
	for i := range int64(4) {
		l.receiveComplete(testutil.StartedListEntry("s", l.machine.BootMS()+1e6*(i+1)))
		seen[l.endpoints.StartedAt("s")] = true
	}
	if len(seen) != 4 {
		t.Errorf("four starts have %d times", len(seen))
	}
}

// timedEnd is when an attempt ends.
type timedEnd struct {
	at      time.Duration
	attempt *Attempt
}

// loopTraffic drives an event loop by the clocks of its machine: a request every 5 ms, each served after 4 ms.
type loopTraffic struct {
	*simulatedLoop
	ends []timedEnd // of the attempts in flight, in order
	sent int
}

func newLoopTraffic(l *simulatedLoop) *loopTraffic {
	d := &loopTraffic{simulatedLoop: l}
	l.hooks.StartAttempt = func(a *Attempt) {
		d.ends = append(d.ends, timedEnd{l.clock.Now() + 4*time.Millisecond, a})
		d.sent++
	}
	return d
}

// run counts the requests that are sent in each of a number of seconds.
func (d *loopTraffic) run(seconds int) (counts []int) {
	for range seconds {
		d.sent = 0
		for range 200 {
			d.step()
		}
		counts = append(counts, d.sent)
	}
	return counts
}

// step ends the attempts that are due, makes one request and lets 5 ms pass.
func (d *loopTraffic) step() {
	now := d.clock.Now()
	for len(d.ends) > 0 && d.ends[0].at <= now {
		end := d.ends[0]
		d.ends = d.ends[1:]
		d.handleEvent(attemptEnded{end.attempt, upstream.Outcome{Result: balancer.Success, EndedAt: now}})
	}
	d.fireTimers()
	d.handleEvent(requestReceived{&request{
		Request: upstream.Request{ID: fmt.Sprint(now)}, class: "view",
		receivedAt: now, deadline: now + time.Second, revision: 1, response: make(chan Response, 1),
	}})
	d.machine.Advance(5 * time.Millisecond)
}

// sentToARestartedServer counts the requests in each second after a restart, with the wall clock stepped before the
// start and after it.
func sentToARestartedServer(t *testing.T, before, after time.Duration) []int {
	t.Helper()
	l := newSimulatedLoop(t, true)
	l.receiveComplete(testutil.StartedListEntry("s", 0))
	traffic := newLoopTraffic(l)
	traffic.run(5)
	l.machine.StepWallClock(before)
	restarted := testutil.StartedListEntry("s", l.machine.BootMS())
	l.machine.StepWallClock(after)
	l.receiveComplete(restarted)
	return traffic.run(8)
}

// A server that restarts while the node runs goes through the same slow start, whatever happens to the wall clock
// meanwhile.
func TestRestartedServerWarmsUpDespiteClockSteps(t *testing.T) {
	want := sentToARestartedServer(t, 0, 0)
	t.Logf("requests in each second of the restarted server, clock not set: %v", want)
	for _, step := range []time.Duration{
		time.Second, -time.Second, time.Minute, -time.Minute, time.Hour, -time.Hour,
	} {
		if got := sentToARestartedServer(t, step, 0); !slices.Equal(got, want) {
			t.Errorf("clock set by %v before the start: %v", step, got)
		}
		if got := sentToARestartedServer(t, 0, step); !slices.Equal(got, want) {
			t.Errorf("clock set by %v after the start: %v", step, got)
		}
	}
}
