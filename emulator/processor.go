package emulator

import (
	"time"
)

// processor is a processor with one line: jobs in turn, each for as long as it takes. It is driven by its switch's
// goroutine.
type processor struct {
	first  bool // answers and releases go before new set-ups
	queues [2][]job
	ahead  time.Duration // work queued
	timer  *time.Timer
	busy   bool
	hung   bool
	// instant: jobs take no time, and each is done as it comes.
	instant bool
	slow    float64 // takes so many times as long
	now     job
}

type job struct {
	queued time.Time
	work   time.Duration
	setUp  bool
	extra  func(waited time.Duration) time.Duration // further work, known when its turn comes
	done   func()
}

func newProcessor(first bool) *processor {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return &processor{first: first, timer: t, slow: 1}
}

// add queues a job.
func (p *processor) add(j job) {
	j.queued = time.Now()
	q := 0
	if p.first && j.setUp {
		q = 1
	}
	p.queues[q] = append(p.queues[q], j)
	p.ahead += j.work
	p.next()
}

// wait is how long a set-up that comes now would wait.
func (p *processor) wait() time.Duration { return time.Duration(float64(p.ahead) * p.slow) }

// next starts the next job if the processor is free.
func (p *processor) next() {
	if p.busy || p.hung {
		return
	}
	for q := range p.queues {
		if len(p.queues[q]) == 0 {
			continue
		}
		p.now = p.queues[q][0]
		p.queues[q] = p.queues[q][1:]
		work := p.now.work
		if p.now.extra != nil {
			work += p.now.extra(time.Since(p.now.queued))
		}
		p.busy = true
		if p.instant {
			p.finish()
			return
		}
		p.timer.Reset(max(0, time.Duration(float64(work)*p.slow)))
		return
	}
}

// finish is called when the timer has run out.
func (p *processor) finish() {
	if !p.busy {
		return
	}
	p.busy = false
	p.ahead -= p.now.work
	done := p.now.done
	p.now = job{}
	if done != nil {
		done()
	}
	p.next()
}

func (p *processor) hang(on bool) {
	p.hung = on
	p.next()
}

// clear forgets all jobs.
func (p *processor) clear() {
	p.timer.Stop()
	p.queues, p.ahead, p.busy, p.hung, p.slow, p.now = [2][]job{}, 0, false, false, 1, job{}
}
