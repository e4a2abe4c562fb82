package main

import (
	"fmt"
	"syscall"
	"time"
)

// partitionCase: one switch of seven is cut off from the controller for 6 s. Calls that stand there come to their end
// meanwhile. Their releases must reach the callers within 8 s of the end of the calls.
func partitionCase(w *world) string {
	w.addSwitches(6)
	far := w.switches[2]
	p := newProxy(w, "network of "+far.id, far.address)
	w.list.Switches[2].Address = p.address()
	w.serveNames()
	w.startController()
	callers, err := w.dialCaller("subscribers")
	must(err)
	offer := func(dest int) *callRecord {
		call := callers.offer(dest, "voice", 3*time.Second, false, "")
		if call == nil {
			cannotRun("the connection of the callers has ended")
		}
		return call
	}
	// Some calls at once, as at any busy moment: the controller opens a second connection to the switch.
	for range 3 {
		for range 3 {
			call := offer(2)
			time.AfterFunc(400*time.Millisecond, func() { far.release(call.id, 16) })
		}
		time.Sleep(500 * time.Millisecond)
	}
	// Little traffic from here on: one call after another. Five calls stand at the switch.
	var standing []*callRecord
	for range 5 {
		standing = append(standing, offer(2))
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	for _, call := range standing {
		if !w.get(call).accepted {
			cannotRun("a call before the disruption was not answered")
		}
	}
	begin := time.Now()
	w.logf("the disruption begins")
	if w.trouble {
		p.setCut(true)
		time.AfterFunc(6*time.Second-time.Since(begin), func() { p.setCut(false) }) // 6 s at most
	}
	time.Sleep(300 * time.Millisecond)
	offer(2) // the only call to this exchange during the disruption
	ends := map[*callRecord]time.Time{}
	for i, call := range standing { // they come to their end 2.5 s to 4.5 s after the begin
		time.Sleep(time.Until(begin.Add(2500*time.Millisecond + time.Duration(i)*500*time.Millisecond)))
		far.release(call.id, 16)
		ends[call] = time.Now()
		offer(3 + i%4) // the other exchanges
	}
	for time.Since(begin) < 6500*time.Millisecond {
		time.Sleep(50 * time.Millisecond)
	}
	for time.Since(begin) < 20*time.Second { // traffic goes on, one call after another
		for _, dest := range []int{1, 2, 3, 2, 4, 2, 5, 2, 6} {
			call := offer(dest)
			time.Sleep(300 * time.Millisecond)
			if w.get(call).accepted {
				callers.end(call)
			}
		}
	}
	if w.controller.ended() {
		cannotRun("the controller ended by itself")
	}
	late := 0
	worst := ""
	for _, call := range standing {
		c := w.get(call)
		switch {
		case !c.released:
			late++
			worst = fmt.Sprintf("%s ended %.1f s ago and was never released towards its client", c.id, time.Since(ends[call]).Seconds())
			w.logf("%s", worst)
		case c.releasedAt.Sub(ends[call]) > 8*time.Second+50*time.Millisecond:
			late++
			worst = fmt.Sprintf("%s was released towards its client %.1f s after its end", c.id, c.releasedAt.Sub(ends[call]).Seconds())
			w.logf("%s", worst)
		default:
			w.logf("%s was released towards its client %.2f s after its end", c.id, c.releasedAt.Sub(ends[call]).Seconds())
		}
	}
	w.controller.signal(syscall.SIGKILL)
	<-w.controller.done
	if late > 0 {
		return fmt.Sprintf("%d of %d calls that had stood and were over were not released towards their client within 8 s: %s", late, len(standing), worst)
	}
	return ""
}
