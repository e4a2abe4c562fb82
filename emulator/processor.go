package emulator

import (
	"time"
)

// processor emulates a processor that does one job at a time. It is driven by the event loop of its switch.
type processor struct {
	followUpsFirst bool // answers and releases are served before new set-ups
	queues         [2][]job
	queuedWork     time.Duration // work of the queued jobs and the current one, at normal speed
	timer          *time.Timer
	busy           bool
	hung           bool
	instant        bool    // jobs take no time and are done when they arrive
	slowdown       float64 // factor by which each job takes longer
	current        job
}

// job is a unit of work for the processor.
type job struct {
	queued    time.Time
	workTime  time.Duration
	setUp     bool
	extraWork func(waited time.Duration) time.Duration // additional work, computed when the job starts
	done      func()
}

func newProcessor(followUpsFirst bool) *processor {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return &processor{followUpsFirst: followUpsFirst, timer: t, slowdown: 1}
}

// add queues a job and starts it if the processor is free.
func (p *processor) add(j job) {
	j.queued = time.Now()
	queue := 0
	if p.followUpsFirst && j.setUp {
		queue = 1
	}
	p.queues[queue] = append(p.queues[queue], j)
	p.queuedWork += j.workTime
	p.startNext()
}

// setUpDelay is how long a set-up that arrives now would wait for the processor.
func (p *processor) setUpDelay() time.Duration {
	return time.Duration(float64(p.queuedWork) * p.slowdown)
}

// startNext starts the next job if the processor is free.
func (p *processor) startNext() {
	if p.busy || p.hung {
		return
	}
	for queue := range p.queues {
		if len(p.queues[queue]) == 0 {
			continue
		}
		p.current = p.queues[queue][0]
		p.queues[queue] = p.queues[queue][1:]
		workTime := p.current.workTime
		if p.current.extraWork != nil {
			workTime += p.current.extraWork(time.Since(p.current.queued))
		}
		p.busy = true
		if p.instant {
			p.finishCurrent()
			return
		}
		p.timer.Reset(max(0, time.Duration(float64(workTime)*p.slowdown)))
		return
	}
}

// finishCurrent completes the current job when its timer has expired.
func (p *processor) finishCurrent() {
	if !p.busy {
		return
	}
	p.busy = false
	p.queuedWork -= p.current.workTime
	done := p.current.done
	p.current = job{}
	if done != nil {
		done()
	}
	p.startNext()
}

// setHung stops the processor before its next job (on is true), or lets it continue.
func (p *processor) setHung(on bool) {
	p.hung = on
	p.startNext()
}

// clear drops all jobs and resets the processor to normal speed.
func (p *processor) clear() {
	p.timer.Stop()
	p.queues, p.queuedWork, p.busy, p.hung, p.slowdown, p.current = [2][]job{}, 0, false, false, 1, job{}
}
