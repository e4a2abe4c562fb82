// Package wire hosts any number of controllers behind the line protocol of the simulator. It translates
// the wire's words into those of package policy and back, and decides nothing.
package wire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"github.com/umbergauge/umbergauge/policy"
)

// instance is one hosted controller.
type instance struct {
	ctl    *policy.Engine
	fields []field // meaning of the load report's values
}

// host holds the instances of one process and the lists last received.
type host struct {
	parser    fastjson.Parser
	instances map[int64]*instance
	pages     map[int64][]policy.Entry
	now       time.Duration
	actions   []policy.Action
	out       []byte
}

// Serve answers batches from r on w until the input ends. The error is a plain one-line message.
func Serve(r io.Reader, w io.Writer) error {
	h := &host{instances: map[int64]*instance{}, pages: map[int64][]policy.Entry{}}
	in := bufio.NewReaderSize(r, 1<<20)
	bw := bufio.NewWriterSize(w, 1<<18)
	open, line := false, 0
	var seq int64
	for {
		text, err := readLine(in)
		if errors.Is(err, io.EOF) && len(text) == 0 {
			if open {
				return fmt.Errorf("line %d: input ended in mid-batch", line)
			}
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("reading: %w", err)
		}
		line++
		if len(text) == 0 {
			continue
		}
		a, err := h.message(text)
		if err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
		switch {
		case a.name == "Clock":
			if open {
				return fmt.Errorf("line %d: Clock inside a batch", line)
			}
			open, h.now, seq = true, a.ms(0), a.integer(1)
			a.arity(2)
		case !open:
			return fmt.Errorf("line %d: %s outside a batch", line, clip(a.name))
		case a.name == "OverToYou":
			open = false
			h.out = append(strconv.AppendInt(append(h.out, `["Ack",`...), seq, 10), "]\n"...)
			if _, err := bw.Write(h.out); err != nil {
				return fmt.Errorf("writing: %w", err)
			}
			if err := bw.Flush(); err != nil {
				return fmt.Errorf("writing: %w", err)
			}
			h.out = h.out[:0]
		default:
			h.event(a)
		}
		if a.err != nil {
			return fmt.Errorf("line %d: %w", line, a.err)
		}
	}
}

// readLine returns the next line without its end; the buffer grows for long ones.
func readLine(in *bufio.Reader) ([]byte, error) {
	text, err := in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := append([]byte(nil), text...)
		for errors.Is(err, bufio.ErrBufferFull) {
			text, err = in.ReadSlice('\n')
			long = append(long, text...)
		}
		text = long
	}
	for len(text) > 0 && (text[len(text)-1] == '\n' || text[len(text)-1] == '\r') {
		text = text[:len(text)-1]
	}
	return text, err
}

// event hands one message to the instance that it names.
func (h *host) event(a *args) {
	switch a.name {
	case "Hello":
		h.hello(a)
		return
	case "Pool":
		a.arity(2)
		h.pages[a.integer(0)] = a.entries(1)
		return
	}
	id := a.integer(0)
	in, known := h.instances[id]
	if a.err != nil {
		return
	}
	if !known {
		a.fail("%s for unknown controller %d", a.name, id)
		return
	}
	var ev policy.Event
	switch a.name {
	case "PowerOff":
		a.arity(1)
		delete(h.instances, id)
		return
	case "Targets":
		ev = h.targets(a)
	case "Demand":
		ev = in.demand(a)
	case "Echo":
		ev = in.echo(a)
	case "Established":
		ev = in.established(a)
	case "Returned":
		ev = in.returned(a)
	case "Dropped":
		a.arity(2)
		ev = policy.CallerReleased{Call: a.call(1)}
	case "Wake":
		a.arity(2)
		ev = policy.Timer{ID: a.unsigned(1)}
	case "Mail":
		a.arity(3)
		return
	default:
		a.fail("unknown message %s", clip(a.name))
	}
	if a.err != nil {
		return
	}
	h.actions = in.ctl.Handle(h.now, ev, h.actions[:0])
	for _, act := range h.actions {
		h.out = appendAction(h.out, id, act)
	}
}

// hello starts an instance anew.
func (h *host) hello(a *args) {
	a.arity(3)
	id, seed := a.integer(0), a.unsigned(1)
	cfg, fields := a.config(2)
	if a.err != nil {
		return
	}
	cfg.Seed = seed
	ctl, err := policy.New(cfg)
	if err != nil {
		a.fail("settings: %v", err)
		return
	}
	h.instances[id] = &instance{ctl: ctl, fields: fields}
}

// targets translates a report on the list.
func (h *host) targets(a *args) policy.Event {
	if len(a.v) < 2 {
		a.arity(4)
		return nil
	}
	form := a.text(1)
	switch form {
	case "X":
		return policy.List{Failed: true}
	case "D", "F", "C":
	default:
		a.fail("unknown form of list %s", clip(form))
		return nil
	}
	a.arity(4)
	page := a.integer(3)
	entries, ok := h.pages[page]
	if !ok {
		a.fail("list %d was never sent", page)
	}
	return policy.List{Full: form != "D", Entries: entries}
}

// The bits of a Demand's options.
const (
	optRedial    = 2
	optTransit   = 8
	optCutBefore = 16
)

func (in *instance) demand(a *args) policy.Event {
	a.arity(11)
	options := a.integer(10)
	ev := policy.Offered{
		Call: a.call(1), Circuits: a.number(3, 0), Due: a.ms(4), AdvisedTandem: int(a.number(5, -1)),
		Tenant: int(a.number(6, 0)), Number: a.optText(7), Destination: int(a.integer(8)), Class: int(a.integer(9)),
		Transit: options&optTransit != 0, Redial: options&optRedial != 0, CutBefore: options&optCutBefore != 0,
	}
	return ev
}

func (in *instance) echo(a *args) policy.Event {
	a.arity(5)
	ev := policy.Status{Exchange: a.text(2), OK: a.integer(3) == 0, Report: unknownReport}
	if delay := a.ms(1); delay > 0 {
		ev.Solicited, ev.Delay = true, delay
	}
	if r := in.report(a, 4); r != nil {
		ev.Report = *r
	}
	return ev
}

func (in *instance) established(a *args) policy.Event {
	a.arity(5)
	return policy.Established{Call: a.call(1), Delay: a.ms(2), Exchange: a.text(3), Attempt: int(a.integer(4))}
}

// causes maps completion codes.
var causes = map[int64]policy.Cause{
	0: policy.Completed, 13: policy.Failed, 8: policy.NotSetUp, 4: policy.TimedOut, 14: policy.NoContact,
	10: policy.Reset, 1: policy.Cancelled, 9: policy.NotSent,
}

func (in *instance) returned(a *args) policy.Event {
	a.arity(9)
	code, why := a.integer(6), int64(a.number(5, 0))
	cause, ok := causes[code]
	if !ok {
		a.fail("unknown completion code %d", code)
	}
	ev := policy.AttemptEnded{
		Call: a.call(1), Final: a.boolean(2), Delay: a.ms(3), Attempt: int(a.integer(4)), Cause: cause,
		Exchange: a.text(7), Report: in.report(a, 8),
	}
	switch {
	case why == 18:
		ev.Reason = policy.CrankbackFull
	case why&15 == 1:
		ev.Reason = policy.NoCircuit
	case why&15 == 2:
		ev.Reason = policy.Crankback
	case why&15 == 3:
		ev.Reason, ev.Wait = policy.ProcessorFull, time.Duration(why>>4)*time.Millisecond
	case why&15 == 4:
		ev.Reason = policy.NumberBusy
	}
	return ev
}

// appendAction writes one action as a line.
func appendAction(b []byte, id int64, act policy.Action) []byte {
	open := func(name string) {
		b = append(append(append(b, `["`...), name...), `",`...)
		b = strconv.AppendInt(b, id, 10)
	}
	number := func(u uint64) { b = strconv.AppendUint(append(b, ','), u, 10) }
	ms := func(d time.Duration) {
		b = strconv.AppendFloat(append(b, ','), float64(d/time.Microsecond)/1000, 'f', -1, 64)
	}
	text := func(s string) {
		quoted, _ := json.Marshal(s)
		b = append(append(b, ','), quoted...)
	}
	switch act := act.(type) {
	case policy.SetUp:
		open("Send")
		number(act.Call)
		ms(act.TimeOut)
		text(act.Exchange)
	case policy.Refuse:
		open("Bounce")
		number(act.Call)
		ms(act.Wait)
	case policy.Fail:
		open("Lose")
		number(act.Call)
	case policy.SetTimer:
		open("Sleep")
		number(act.ID)
		ms(act.After)
	case policy.Subscribe:
		open("Tail")
		b = append(b, ",true"...)
	}
	return append(b, "]\n"...)
}
