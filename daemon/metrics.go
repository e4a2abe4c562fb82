package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/umbergauge/umbergauge/controller"
	"github.com/umbergauge/umbergauge/policy"
)

// metrics are the daemon's figures for Prometheus. Totals and the module's view are read from the controller when they
// are asked for.
type metrics struct {
	d            *Daemon
	registry     *prometheus.Registry
	panics       prometheus.Counter
	malformed    prometheus.Counter
	turnedAway   prometheus.Counter
	hookFailures prometheus.Counter
	outcomes     *prometheus.CounterVec
	setUp        *prometheus.HistogramVec
	stands       []prometheus.Observer // by class
	answer       *prometheus.HistogramVec
	answers      []prometheus.Observer
}

func newMetrics(d *Daemon) *metrics {
	m := &metrics{d: d, registry: prometheus.NewRegistry()}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		m.registry.MustRegister(c)
		return c
	}
	m.panics = counter("umbergauge_panics_total", "Panics caught.")
	m.malformed = counter("umbergauge_malformed_frames_total", "M3UA frames that could not be read.")
	m.turnedAway = counter("umbergauge_clients_turned_away_total", "Connections beyond limits.clients.")
	m.hookFailures = counter("umbergauge_hook_failures_total", "Runs of hooks that failed.")
	m.outcomes = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "umbergauge_calls_total", Help: "Calls by class and outcome."}, []string{"class", "outcome"})
	m.setUp = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "umbergauge_set_up_seconds", Help: "Of calls that stood: from IAM in to ACM out, or the answer where no ACM came.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 14)}, []string{"class"})
	m.answer = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "umbergauge_answer_seconds", Help: "From IAM in to answer out, ringing included.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 18)}, []string{"class"})
	m.registry.MustRegister(m.outcomes, m.setUp, m.answer, m, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, c := range d.cfg.Classes {
		m.stands = append(m.stands, m.setUp.WithLabelValues(c.Name))
		m.answers = append(m.answers, m.answer.WithLabelValues(c.Name))
	}
	return m
}

func (m *metrics) ended(e controller.CallRecord) {
	if e.Class >= len(m.stands) {
		return
	}
	m.outcomes.WithLabelValues(m.d.cfg.Classes[e.Class].Name, e.Outcome.String()).Inc()
	if e.Outcome == controller.Answered {
		m.stands[e.Class].Observe(e.SetUp.Seconds())
		m.answers[e.Class].Observe(e.After.Seconds())
	}
}

// Describe sends nothing: what Collect gives depends on the settings.
func (m *metrics) Describe(chan<- *prometheus.Desc) {}

// Collect asks the decision goroutine for its figures. When that is too busy to answer in time, they are left out.
func (m *metrics) Collect(ch chan<- prometheus.Metric) {
	var s snapshot
	if m.d.do(context.Background(), func() { s = m.d.snapshot() }) != nil {
		return
	}
	emit := func(t prometheus.ValueType, name, help string, v float64, labels ...string) {
		names := []string{"exchange"}[:min(1, len(labels))]
		ch <- prometheus.MustNewConstMetric(prometheus.NewDesc("umbergauge_"+name, help, names, nil), t, v, labels...)
	}
	c := s.counters
	for _, x := range []struct {
		name, help string
		v          uint64
	}{
		{"attempts_total", "Attempts asked for by the module.", c.Attempts},
		{"attempts_timed_out_total", "Attempts without an answer in time.", c.TimedOut},
		{"attempts_no_contact_total", "Attempts without an association.", c.NoContact},
		{"attempts_not_sent_total", "Attempts that never left.", c.NotSent},
		{"alerted_total", "Attempts that passed ACM: the processor's part was over.", c.Alerted},
		{"no_answer_total", "Numbers that rang until T9 or their caller's patience was over.", c.NoAnswer},
		{"pending_total", "Times that a client with several associations lost the last one.", c.Pending},
		{"late_answers_total", "Answers after the own time-out.", c.LateAnswers},
		{"transit_calls_total", "Calls taken in transit.", c.Transit},
		{"queue_full_total", "Frames that found the queue of their association full.", c.QueueFull},
		{"kept_out_total", "Set-ups that limits kept out.", c.NotAdmitted},
		{"hooks_asked_total", "Questions to hooks.", c.HookAsked},
		{"hooks_late_total", "Questions without an answer by the deadline.", c.HookLate},
		{"hooks_busy_total", "Questions that found the hooks' queue full.", c.HookBusy},
		{"unexpected_messages_total", "Messages that fit no state.", c.Unexpected},
	} {
		emit(prometheus.CounterValue, x.name, x.help, float64(x.v))
	}
	emit(prometheus.GaugeValue, "open_calls", "Calls in the table.", float64(s.open))
	emit(prometheus.GaugeValue, "waiting_calls", "Calls owed a final answer.", float64(s.waiting))
	emit(prometheus.GaugeValue, "ringing_calls", "Calls whose number rings.", float64(s.ringing))
	emit(prometheus.GaugeValue, "event_queue", "Events waiting for the decision goroutine.", float64(len(m.d.events)))
	for _, g := range s.groups {
		emit(prometheus.GaugeValue, "circuits_free", "Circuits that can be seized.", float64(g.Free), g.label())
		emit(prometheus.GaugeValue, "circuits_in_service", "Circuits that are not blocked.", float64(g.Size), g.label())
		emit(prometheus.CounterValue, "dual_seizures_total", "Circuits seized by both ends.", float64(g.DualSeizures), g.label())
		emit(prometheus.CounterValue, "circuit_leaks_total", "Circuits found busy or idle at one end only.", float64(g.Leaks), g.label())
	}
	for _, v := range s.views {
		emit(prometheus.GaugeValue, "window", "Set-ups that may await an answer there.", v.Window, label(uint32(v.PointCode)))
		emit(prometheus.GaugeValue, "load", "Load that the module reads there, 0 to 1.", v.Load, label(uint32(v.PointCode)))
	}
}

func (d *Daemon) serveMetrics(ctx context.Context) {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4}))
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second, MaxHeaderBytes: 1 << 14}
	defer context.AfterFunc(ctx, func() { s.Close() })()
	s.Serve(d.metricsAt)
}

// snapshot is what operators see at one instant.
type snapshot struct {
	counters      controller.Counters
	open, waiting int
	ringing       int
	groups        []groupView
	views         []policy.View
}

type groupView struct{ controller.GroupView }

func (g groupView) label() string { return label(g.Far) }

func (d *Daemon) snapshot() snapshot {
	s := snapshot{counters: d.core.Counters, open: d.core.Open(), waiting: d.core.Waiting(), ringing: d.core.Ringing(), views: d.core.Views()}
	for _, g := range d.core.Groups() {
		s.groups = append(s.groups, groupView{g})
	}
	return s
}
