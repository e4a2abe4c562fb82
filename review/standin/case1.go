package main

import (
	"fmt"
	"syscall"
	"time"
)

// drainCase: a planned restart while one switch of seven hangs through the whole of it. Calls in transit keep arriving. SIGKILL comes
// 3.8 s after SIGTERM: no sooner than the longest deadline, counted as 3 s, and 0.7 s more.
func drainCase(w *world) string {
	w.addSwitches(6)
	w.serveNames()
	w.startController()
	subscribers, err := w.dialCaller("subscribers")
	must(err)
	peers, err := w.dialCaller("peers")
	must(err)
	// Before the restart: calls to every far switch, each of which stands and is ended by its caller.
	for n := range 36 {
		conn := subscribers
		if n%3 == 0 {
			conn = peers
		}
		call := conn.offer(1+n%6, "voice", 3*time.Second, conn == peers, "")
		if call == nil {
			cannotRun("the controller closed a connection before the restart")
		}
		time.AfterFunc(500*time.Millisecond, func() { conn.end(call) })
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(600 * time.Millisecond)
	w.mu.Lock()
	for _, call := range w.calls {
		if !call.accepted {
			w.mu.Unlock()
			cannotRun("a call before the restart did not stand")
		}
	}
	w.mu.Unlock()
	hung := w.switches[2]
	hangs := time.Now()
	if w.trouble {
		hung.mu.Lock()
		hung.hung = true
		hung.mu.Unlock()
		w.logf("%s hangs from now on: it takes set-ups and answers none", hung.id)
	}
	if w.controller.ended() {
		cannotRun("the controller ended before the restart")
	}
	sigterm := time.Now()
	w.logf("SIGTERM")
	w.controller.signal(syscall.SIGTERM)
	kill := sigterm.Add(3800 * time.Millisecond)
	// Calls in transit go on arriving, on the open connection or, where it was closed, on a new one, for as long as the process runs.
	// A set-up that crossed the close of its connection within 50 ms is sent again, once, on a new connection.
	var last *callRecord
	again := false
	notTaken := map[*callRecord]bool{}
	for n := 0; time.Now().Before(kill.Add(-300*time.Millisecond)) && !w.controller.ended(); n++ {
		if peers.ended() {
			crossed := false
			if last != nil && !again {
				c := w.get(last)
				ended := peers.endedAt()
				crossed = c.answers == 0 && ended.Sub(c.sentAt).Abs() <= 50*time.Millisecond
			}
			if crossed {
				notTaken[last] = true // unless it can be sent again
			}
			if peers, err = w.dialCaller("peers"); err != nil {
				w.logf("new connections are refused: %v", err)
				break
			}
			if crossed && peers.offerAgain(last) {
				delete(notTaken, last)
				again = true
			}
		}
		if call := peers.offer(1+n%6, "voice", 3300*time.Millisecond, true, ""); call != nil {
			last, again = call, false
		}
		time.Sleep(150 * time.Millisecond)
	}
	select {
	case <-w.controller.done:
		w.logf("the controller has ended by itself")
	case <-time.After(time.Until(kill)):
		w.logf("SIGKILL")
		w.controller.signal(syscall.SIGKILL)
		<-w.controller.done
	}
	time.Sleep(time.Until(hangs.Add(5600 * time.Millisecond))) // a hang takes 5.5 s and more
	w.mu.Lock()
	defer w.mu.Unlock()
	lost, counted := 0, 0
	for _, call := range w.calls {
		after := call.sentAt.Sub(sigterm)
		if after <= 750*time.Millisecond || notTaken[call] { // 0.7 s and 50 ms of slack
			continue
		}
		counted++
		if call.answers == 0 {
			lost++
			w.logLocked("lost: %s, sent %d ms after SIGTERM to exchange %d, had no answer when SIGKILL came", call.id, after.Milliseconds(), call.dest)
		}
	}
	w.logLocked("%d calls in transit came later than 0.75 s after SIGTERM, %d of them had no answer when the process ended", counted, lost)
	if counted == 0 {
		return "" // the controller ended before any came
	}
	if lost > 0 {
		return fmt.Sprintf("%d of %d calls in transit that came later than 0.75 s after SIGTERM had no answer when SIGKILL came 3.8 s after SIGTERM", lost, counted)
	}
	return ""
}
