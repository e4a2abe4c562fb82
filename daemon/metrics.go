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

// metrics are the daemon's Prometheus metrics. Totals and the policy engine's view of the exchanges are read from the
// controller at each scrape.
type metrics struct {
	d              *Daemon
	registry       *prometheus.Registry
	panics         prometheus.Counter
	malformedFrame prometheus.Counter
	turnedAway     prometheus.Counter
	hookFailures   prometheus.Counter
	outcomes       *prometheus.CounterVec
	setUp          *prometheus.HistogramVec
	setUpByClass   []prometheus.Observer // by class
	answer         *prometheus.HistogramVec
	answerByClass  []prometheus.Observer
}

func newMetrics(d *Daemon) *metrics {
	m := &metrics{d: d, registry: prometheus.NewRegistry()}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		m.registry.MustRegister(c)
		return c
	}
	m.panics = counter("umbergauge_panics_total", "Panics caught.")
	m.malformedFrame = counter("umbergauge_malformed_frames_total", "M3UA frames that could not be decoded.")
	m.turnedAway = counter("umbergauge_clients_turned_away_total", "Connections refused by limits.clients or limits.handshakes.")
	m.hookFailures = counter("umbergauge_hook_failures_total", "Runs of hooks that failed.")
	m.outcomes = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "umbergauge_calls_total", Help: "Calls by class and outcome."}, []string{"class", "outcome"})
	m.setUp = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "umbergauge_set_up_seconds", Help: "Established calls: time from receiving IAM to sending ACM, or the answer if no ACM came.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 14)}, []string{"class"})
	m.answer = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "umbergauge_answer_seconds", Help: "Established calls: time from receiving IAM to sending the answer, ringing included.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 18)}, []string{"class"})
	m.registry.MustRegister(m.outcomes, m.setUp, m.answer, m, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, c := range d.cfg.Classes {
		m.setUpByClass = append(m.setUpByClass, m.setUp.WithLabelValues(c.Name))
		m.answerByClass = append(m.answerByClass, m.answer.WithLabelValues(c.Name))
	}
	return m
}

func (m *metrics) recordEnd(call controller.CallRecord) {
	if call.Class >= len(m.setUpByClass) {
		return
	}
	m.outcomes.WithLabelValues(m.d.cfg.Classes[call.Class].Name, call.Outcome.String()).Inc()
	if call.Outcome == controller.Answered {
		m.setUpByClass[call.Class].Observe(call.SetUp.Seconds())
		m.answerByClass[call.Class].Observe(call.After.Seconds())
	}
}

// Describe sends nothing, because the metrics that Collect sends depend on the settings.
func (m *metrics) Describe(chan<- *prometheus.Desc) {}

// Collect reads the figures of the event loop. If it is too busy to answer in time, they are left out of the scrape.
func (m *metrics) Collect(ch chan<- prometheus.Metric) {
	var snap snapshot
	if m.d.onLoop(context.Background(), func() { snap = m.d.snapshot() }) != nil {
		return
	}
	emit := func(kind prometheus.ValueType, name, help string, v float64, labels ...string) {
		names := []string{"exchange"}[:min(1, len(labels))]
		ch <- prometheus.MustNewConstMetric(prometheus.NewDesc("umbergauge_"+name, help, names, nil), kind, v, labels...)
	}
	totals := snap.counters
	for _, x := range []struct {
		name, help string
		v          uint64
	}{
		{"attempts_total", "Attempts requested by the policy engine.", totals.Attempts},
		{"attempts_timed_out_total", "Attempts that got no answer within the time-out.", totals.TimedOut},
		{"attempts_no_contact_total", "Attempts that had no association to their exchange.", totals.NoContact},
		{"attempts_not_sent_total", "Attempts whose IAM was not sent.", totals.NotSent},
		{"alerted_total", "Attempts that reached ACM, the end of the processor's work on the set-up.", totals.Alerted},
		{"no_answer_total", "Calls whose number rang until T9 or the caller's own time limit expired.", totals.NoAnswer},
		{"pending_total", "Times that a client with several associations lost its last active one.", totals.Pending},
		{"late_answers_total", "Answers received after the attempt had timed out.", totals.LateAnswers},
		{"transit_calls_total", "Transit calls accepted from other exchanges.", totals.Transit},
		{"queue_full_total", "Frames dropped because the send queue of their association was full or closed.", totals.QueueFull},
		{"kept_out_total", "Set-ups refused by admission limits.", totals.NotAdmitted},
		{"hooks_asked_total", "Requests to hooks.", totals.HookAsked},
		{"hooks_late_total", "Requests to hooks without a result by the deadline.", totals.HookLate},
		{"hooks_busy_total", "Requests to hooks dropped because the hooks' queue was full.", totals.HookBusy},
		{"unexpected_messages_total", "Messages not expected in the current state.", totals.Unexpected},
	} {
		emit(prometheus.CounterValue, x.name, x.help, float64(x.v))
	}
	emit(prometheus.GaugeValue, "open_calls", "Calls in the table.", float64(snap.open))
	emit(prometheus.GaugeValue, "waiting_calls", "Calls that await their final answer.", float64(snap.waiting))
	emit(prometheus.GaugeValue, "ringing_calls", "Calls whose number is ringing.", float64(snap.ringing))
	emit(prometheus.GaugeValue, "event_queue", "Events queued for the event loop.", float64(len(m.d.events)))
	for _, g := range snap.groups {
		emit(prometheus.GaugeValue, "circuits_free", "Circuits that can be seized.", float64(g.Free), g.exchangeLabel())
		emit(prometheus.GaugeValue, "circuits_in_service", "Circuits that are not blocked.", float64(g.Size), g.exchangeLabel())
		emit(prometheus.CounterValue, "dual_seizures_total", "Circuits seized by both ends.", float64(g.DualSeizures), g.exchangeLabel())
		emit(prometheus.CounterValue, "circuit_leaks_total", "Circuits found busy at one end and idle at the other.", float64(g.Leaks), g.exchangeLabel())
	}
	for _, v := range snap.views {
		emit(prometheus.GaugeValue, "window", "Window: set-ups that may be outstanding at the exchange.", v.Window, exchangeLabel(uint32(v.PointCode)))
		emit(prometheus.GaugeValue, "load", "Load of the exchange as the policy engine estimates it, 0 to 1.", v.Load, exchangeLabel(uint32(v.PointCode)))
	}
}

func (d *Daemon) serveMetrics(ctx context.Context) {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second, MaxHeaderBytes: 1 << 14}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	server.Serve(d.metricsListener)
}

// snapshot holds the figures for the control port and the metrics, taken together in one step of the event loop.
type snapshot struct {
	counters      controller.Counters
	open, waiting int
	ringing       int
	groups        []groupView
	views         []policy.View
}

type groupView struct{ controller.GroupView }

func (g groupView) exchangeLabel() string { return exchangeLabel(g.Far) }

func (d *Daemon) snapshot() snapshot {
	s := snapshot{counters: d.core.Counters, open: d.core.OpenCalls(), waiting: d.core.Waiting(), ringing: d.core.Ringing(), views: d.core.Views()}
	for _, g := range d.core.Groups() {
		s.groups = append(s.groups, groupView{g})
	}
	return s
}
