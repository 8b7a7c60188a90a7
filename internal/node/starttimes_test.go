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

// clockSteps are sequences of steps of the wall clock.
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

// stepMoment is the time at which the wall clock is stepped, relative to the start of a server.
type stepMoment string

const (
	beforeTheStart stepMoment = "before the start"
	beforeTheList  stepMoment = "before the list" // the list that reports the start
	afterTheList   stepMoment = "after the list"
)

// clockStepRow is a start of a server with steps of the wall clock around it.
type clockStepRow struct {
	moment           stepMoment
	steps            []time.Duration
	complete, pushed bool // form and mode of the list that reports the start
}

// The node determines the start of a server in its monotonic time correctly if the wall clock is stepped before the
// start, between the start and the list that reports it, or after that list. The same list again changes nothing.
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

// run simulates a restart of a server, and passes the list that reports it to the loop several times.
func (row clockStepRow) run(t *testing.T) {
	const reportDelay = 500 * time.Millisecond // from the start to the list that reports it
	const otherServer = "other"                // never restarts
	loop := newSimulatedLoop(t, row.pushed)
	loop.receiveComplete(neverRestartedEntry(otherServer), testutil.StartedListEntry("s", loop.machine.BootMS()-1e6))
	loop.machine.Advance(10 * time.Second)
	row.stepClock(loop, beforeTheStart)
	started, entries := loop.clock.Now(), []string{testutil.StartedListEntry("s", loop.machine.BootMS())}
	if row.complete {
		entries = append(entries, neverRestartedEntry(otherServer))
	}
	row.stepClock(loop, beforeTheList)
	loop.machine.Advance(reportDelay)
	loop.receive(row.complete, entries...)
	if got := loop.endpoints.StartedAt("s"); got != started {
		t.Errorf("the server started at %v, got %v", started, got)
	}
	for range 3 {
		row.stepClock(loop, afterTheList)
		loop.machine.Advance(time.Second)
		loop.receive(row.complete, entries...)
		if got := loop.endpoints.StartedAt("s"); got != started {
			t.Errorf("the server started at %v, got %v after it was listed again", started, got)
		}
	}
}

// stepClock makes the steps of the row if now is their moment. The same time passes in either case.
func (row clockStepRow) stepClock(loop *simulatedLoop, now stepMoment) {
	for _, step := range row.steps {
		if now == row.moment {
			loop.machine.StepWallClock(step)
		}
		loop.machine.Advance(10 * time.Millisecond)
	}
}

// hourMS is an hour in the unit of boot_ms.
const hourMS = int64(time.Hour / time.Millisecond)

// uncertainStarts are starts of server s1 whose time cannot be determined with certainty.
var uncertainStarts = []struct {
	name string
	do   func(l *simulatedLoop) // s1 starts during do or before
	want time.Duration          // start time of s1, relative to the start of the process
}{
	{"in the future", func(l *simulatedLoop) {
		l.machine.Advance(2 * time.Second)
		l.receiveComplete(testutil.StartedListEntry("s1", l.machine.BootMS()+hourMS))
	}, 2 * time.Second},
	{"beyond the range of times", func(l *simulatedLoop) {
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
	{"in the cached list", func(l *simulatedLoop) {
		l.useCached(testutil.StartedListEntry("s1", l.machine.BootMS()-3000))
		l.machine.StepWallClock(time.Hour)
		l.machine.Advance(2 * time.Second)
		l.receiveComplete(testutil.StartedListEntry("s1", l.machine.BootMS()-3000-2000-hourMS))
	}, -3 * time.Second},
	{"before the process, whose clock was wrong at its start", func(l *simulatedLoop) {
		boot := l.machine.BootMS() - 3000
		l.machine.StepWallClock(time.Hour) // the clock is right from now on
		l.machine.Advance(2 * time.Second)
		l.receiveComplete(testutil.StartedListEntry("s1", boot+hourMS))
	}, -3 * time.Second},
	{"since the previous list, by a clock offset that the node never observed", func(l *simulatedLoop) {
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
	{"new in the list: it may have run before", func(l *simulatedLoop) {
		l.receiveComplete(testutil.StartedListEntry("s2", 0))
		l.machine.Advance(2 * time.Second)
		l.receiveChanges(testutil.StartedListEntry("s1", l.machine.BootMS()-10_000))
	}, -8 * time.Second},
	{"since the cached list, which may be outdated", func(l *simulatedLoop) {
		l.useCached(testutil.StartedListEntry("s1", 0))
		l.machine.Advance(2 * time.Second)
		l.receiveComplete(testutil.StartedListEntry("s1", l.machine.BootMS()-10_000))
	}, -8 * time.Second},
}

// If the observed clock offsets leave the start uncertain, the node relies on the lists that it has received, and
// otherwise assumes the latest possible start.
func TestUncertainStartTimesCountAsLate(t *testing.T) {
	for _, row := range uncertainStarts {
		t.Run(row.name, func(t *testing.T) {
			loop := newSimulatedLoop(t, true)
			row.do(loop)
			if got := loop.endpoints.StartedAt("s1") - loop.processStart(); got != row.want {
				t.Errorf("got start time %v, want %v", got, row.want)
			}
		})
	}
}

// Two starts of a server have different times for the module, even if the node takes both of them as the current time
// because it cannot determine them.
// Otherwise the module would keep what it has learned about the first instance.
func TestEachStartHasADistinctTime(t *testing.T) {
	loop := newSimulatedLoop(t, true)
	seen := map[time.Duration]bool{}
	for i := range int64(4) {
		loop.receiveComplete(testutil.StartedListEntry("s", loop.machine.BootMS()+1e6*(i+1)))
		seen[loop.endpoints.StartedAt("s")] = true
	}
	if len(seen) != 4 {
		t.Errorf("got %d times for four starts, want 4", len(seen))
	}
}

// scheduledEnd is the time at which an attempt ends.
type scheduledEnd struct {
	at      time.Duration
	attempt *Attempt
}

// loopTraffic passes a request to an event loop every 5 ms of simulated time, and ends each attempt after 4 ms with
// success.
type loopTraffic struct {
	*simulatedLoop
	ends []scheduledEnd // of the attempts in flight, earliest first
	sent int            // attempts started in the current second
}

func newLoopTraffic(loop *simulatedLoop) *loopTraffic {
	traffic := &loopTraffic{simulatedLoop: loop}
	loop.hooks.StartAttempt = func(a *Attempt) {
		traffic.ends = append(traffic.ends, scheduledEnd{loop.clock.Now() + 4*time.Millisecond, a})
		traffic.sent++
	}
	return traffic
}

// run makes traffic for a number of seconds, and returns the number of attempts in each second.
func (traffic *loopTraffic) run(seconds int) (counts []int) {
	for range seconds {
		traffic.sent = 0
		for range 200 {
			traffic.step()
		}
		counts = append(counts, traffic.sent)
	}
	return counts
}

// step ends the attempts that are due, passes one request to the loop, and advances the clocks by 5 ms.
func (traffic *loopTraffic) step() {
	now := traffic.clock.Now()
	for len(traffic.ends) > 0 && traffic.ends[0].at <= now {
		end := traffic.ends[0]
		traffic.ends = traffic.ends[1:]
		traffic.handleEvent(attemptEnded{end.attempt, upstream.Outcome{Result: balancer.Success, EndedAt: now}})
	}
	traffic.fireTimers()
	traffic.handleEvent(requestReceived{&request{
		Request: upstream.Request{ID: fmt.Sprint(now)}, class: "view",
		receivedAt: now, deadline: now + time.Second, revision: 1, response: make(chan Response, 1),
	}})
	traffic.machine.Advance(5 * time.Millisecond)
}

// sentToARestartedServer returns the number of attempts in each second after a restart of the server. The wall clock is
// stepped before the start and after it.
func sentToARestartedServer(t *testing.T, before, after time.Duration) []int {
	t.Helper()
	loop := newSimulatedLoop(t, true)
	loop.receiveComplete(testutil.StartedListEntry("s", 0))
	traffic := newLoopTraffic(loop)
	traffic.run(5)
	loop.machine.StepWallClock(before)
	restarted := testutil.StartedListEntry("s", loop.machine.BootMS())
	loop.machine.StepWallClock(after)
	loop.receiveComplete(restarted)
	return traffic.run(8)
}

// The slow start of a server that restarts while the node runs does not depend on steps of the wall clock.
func TestSlowStartOfARestartedServerIgnoresClockSteps(t *testing.T) {
	want := sentToARestartedServer(t, 0, 0)
	t.Logf("requests in each second after the restart, without clock steps: %v", want)
	for _, step := range []time.Duration{
		time.Second, -time.Second, time.Minute, -time.Minute, time.Hour, -time.Hour,
	} {
		if got := sentToARestartedServer(t, step, 0); !slices.Equal(got, want) {
			t.Errorf("clock stepped by %v before the start: got %v, want the requests without steps", step, got)
		}
		if got := sentToARestartedServer(t, 0, step); !slices.Equal(got, want) {
			t.Errorf("clock stepped by %v after the start: got %v, want the requests without steps", step, got)
		}
	}
}
