package main

import (
	"fmt"
	"time"

	"github.com/umbergauge/umbergauge/platform/discovery"
)

// slowNamesCase: for 8 s every answer of the name service takes 2.5 s. Meanwhile a switch begins to drain. No set-up may go there later
// than 1 s after the controller was told.
func slowNamesCase(w *world) string {
	const slow = 2500 * time.Millisecond
	w.addSwitches(6)
	w.serveNames()
	w.startController()
	callers, err := w.dialCaller("subscribers")
	must(err)
	n := 0
	traffic := func(d time.Duration) {
		for until := time.Now().Add(d); time.Now().Before(until); n++ {
			call := callers.offer(1+n%6, "voice", 3*time.Second, false, "")
			if call == nil {
				cannotRun("the connection of the callers has ended")
			}
			time.AfterFunc(time.Second, func() {
				if w.get(call).accepted {
					callers.end(call)
				}
			})
			time.Sleep(100 * time.Millisecond)
		}
	}
	traffic(3 * time.Second)
	setDelay := func(d time.Duration) {
		if w.trouble {
			w.mu.Lock()
			w.nsDelay = d
			w.logLocked("from now on every answer of the name service takes %v", d)
			w.mu.Unlock()
		}
	}
	begin := time.Now()
	setDelay(slow)
	time.AfterFunc(8*time.Second, func() { setDelay(0) })
	traffic(time.Second)
	draining := w.switches[2]
	w.mu.Lock()
	event := time.Now()
	w.list.Serial = 2
	w.list.Switches[2].State = discovery.Draining
	w.logLocked("event 2: %s drains", draining.id)
	w.mu.Unlock()
	traffic(10 * time.Second)
	if w.controller.ended() {
		cannotRun("the controller ended by itself")
	}
	w.mu.Lock()
	told := w.toldAt
	if w.toldSerial < 2 {
		w.mu.Unlock()
		cannotRun("no answer with the event was sent")
	}
	w.mu.Unlock()
	// The latest time at which it counts as told: 1.5 s after it happened, and 4.5 s after the name service broke off.
	for _, latest := range []time.Time{event.Add(1500 * time.Millisecond), begin.Add(4500 * time.Millisecond)} {
		if told.Before(latest) {
			told = latest
		}
	}
	w.logf("event 2 counts as told %.1f s after it happened", told.Sub(event).Seconds())
	limit := told.Add(time.Second + 50*time.Millisecond)
	draining.mu.Lock()
	defer draining.mu.Unlock()
	late := 0
	var last time.Time
	for _, s := range draining.setUps {
		if s.at.After(limit) {
			late++
			last = s.at
		}
	}
	w.logf("%d set-ups reached %s later than 1.05 s after the controller counts as told", late, draining.id)
	if late > 0 {
		return fmt.Sprintf("%d set-ups were sent to a draining switch later than 1.05 s after the controller was told, the last one %.1f s after it", late, last.Sub(told).Seconds())
	}
	return ""
}
