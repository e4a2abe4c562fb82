// Package wire hosts any number of controllers behind the line protocol of the simulator: batches of messages, each a JSON
// array on one line. It translates the messages into events of package policy and the engine's actions into messages.
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
	engine       *policy.Engine
	reportFields []reportField // the known fields of load reports
}

// host holds the controllers of one process and the last received lists of switches, each keyed by its number.
type host struct {
	parser    fastjson.Parser
	instances map[int64]*instance
	lists     map[int64][]policy.Entry
	now       time.Duration
	actions   []policy.Action
	out       []byte
}

// Serve reads batches from r and answers them on w until the input ends. The text of its error is a single line.
func Serve(r io.Reader, w io.Writer) error {
	h := &host{instances: map[int64]*instance{}, lists: map[int64][]policy.Entry{}}
	in := bufio.NewReaderSize(r, 1<<20)
	writer := bufio.NewWriterSize(w, 1<<18)
	inBatch, line := false, 0
	var seq int64
	for {
		text, err := readLine(in)
		if errors.Is(err, io.EOF) && len(text) == 0 {
			if inBatch {
				return fmt.Errorf("line %d: input ended within a batch", line)
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
		message, err := h.parseMessage(text)
		if err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
		switch {
		case message.name == "Clock":
			if inBatch {
				return fmt.Errorf("line %d: Clock inside a batch", line)
			}
			inBatch, h.now, seq = true, message.milliseconds(0), message.integer(1)
			message.requireValues(2)
		case !inBatch:
			return fmt.Errorf("line %d: %s outside a batch", line, clip(message.name))
		case message.name == "OverToYou":
			inBatch = false
			h.out = append(strconv.AppendInt(append(h.out, `["Ack",`...), seq, 10), "]\n"...)
			if _, err := writer.Write(h.out); err != nil {
				return fmt.Errorf("writing: %w", err)
			}
			if err := writer.Flush(); err != nil {
				return fmt.Errorf("writing: %w", err)
			}
			h.out = h.out[:0]
		default:
			h.handleMessage(message)
		}
		if message.err != nil {
			return fmt.Errorf("line %d: %w", line, message.err)
		}
	}
}

// readLine returns the next line without its line ending. Lines longer than the reader's buffer are copied.
func readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		joined := append([]byte(nil), line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = reader.ReadSlice('\n')
			joined = append(joined, line...)
		}
		line = joined
	}
	for len(line) > 0 && (line[len(line)-1] == '\n' || line[len(line)-1] == '\r') {
		line = line[:len(line)-1]
	}
	return line, err
}

// handleMessage handles one message of a batch; most are events for the controller whose number is their first value.
func (h *host) handleMessage(message *inputMessage) {
	switch message.name {
	case "Hello":
		h.handleHello(message)
		return
	case "Pool":
		message.requireValues(2)
		h.lists[message.integer(0)] = message.entries(1)
		return
	}
	id := message.integer(0)
	target, known := h.instances[id]
	if message.err != nil {
		return
	}
	if !known {
		message.fail("%s for unknown controller %d", message.name, id)
		return
	}
	var ev policy.Event
	switch message.name {
	case "PowerOff":
		message.requireValues(1)
		delete(h.instances, id)
		return
	case "Targets":
		ev = h.decodeTargets(message)
	case "Demand":
		ev = target.decodeDemand(message)
	case "Echo":
		ev = target.decodeEcho(message)
	case "Established":
		ev = target.decodeEstablished(message)
	case "Returned":
		ev = target.decodeReturned(message)
	case "Dropped":
		message.requireValues(2)
		ev = policy.CallerReleased{Call: message.call(1)}
	case "Wake":
		message.requireValues(2)
		ev = policy.Timer{ID: message.unsigned(1)}
	case "Mail":
		message.requireValues(3)
		return
	default:
		message.fail("unknown message %s", clip(message.name))
	}
	if message.err != nil {
		return
	}
	h.actions = target.engine.Handle(h.now, ev, h.actions[:0])
	for _, action := range h.actions {
		h.out = appendAction(h.out, id, action)
	}
}

// handleHello starts a controller, or restarts it with fresh state.
func (h *host) handleHello(message *inputMessage) {
	message.requireValues(3)
	id, seed := message.integer(0), message.unsigned(1)
	cfg, reportFields := message.settings(2)
	if message.err != nil {
		return
	}
	cfg.Seed = seed
	engine, err := policy.New(cfg)
	if err != nil {
		message.fail("settings: %v", err)
		return
	}
	h.instances[id] = &instance{engine: engine, reportFields: reportFields}
}

// decodeTargets decodes the result of a query for the list of switches.
func (h *host) decodeTargets(message *inputMessage) policy.Event {
	if len(message.values) < 2 {
		message.requireValues(4)
		return nil
	}
	form := message.text(1)
	switch form {
	case "X":
		return policy.List{Failed: true}
	case "D", "F", "C":
	default:
		message.fail("unknown form of list %s", clip(form))
		return nil
	}
	message.requireValues(4)
	list := message.integer(3)
	entries, ok := h.lists[list]
	if !ok {
		message.fail("list %d was never sent", list)
	}
	return policy.List{Full: form != "D", Entries: entries}
}

// Bits of the options value of Demand.
const (
	optionRedial    = 2
	optionTransit   = 8
	optionCutBefore = 16
)

func (in *instance) decodeDemand(message *inputMessage) policy.Event {
	message.requireValues(11)
	options := message.integer(10)
	ev := policy.Offered{
		Call: message.call(1), Circuits: message.optionalNumber(3, 0), Due: message.milliseconds(4), AdvisedTandem: int(message.optionalNumber(5, -1)),
		Tenant: int(message.optionalNumber(6, 0)), Number: message.optionalText(7), Destination: int(message.integer(8)), Class: int(message.integer(9)),
		Transit: options&optionTransit != 0, Redial: options&optionRedial != 0, CutBefore: options&optionCutBefore != 0,
	}
	return ev
}

func (in *instance) decodeEcho(message *inputMessage) policy.Event {
	message.requireValues(5)
	ev := policy.Status{Exchange: message.text(2), OK: message.integer(3) == 0, Report: unknownReport}
	if delay := message.milliseconds(1); delay > 0 {
		ev.Solicited, ev.Delay = true, delay
	}
	if r := in.report(message, 4); r != nil {
		ev.Report = *r
	}
	return ev
}

func (in *instance) decodeEstablished(message *inputMessage) policy.Event {
	message.requireValues(5)
	return policy.Established{Call: message.call(1), Delay: message.milliseconds(2), Exchange: message.text(3), Attempt: int(message.integer(4))}
}

// causeByCode maps the completion codes of Returned to causes.
var causeByCode = map[int64]policy.Cause{
	0: policy.Completed, 13: policy.Failed, 8: policy.NotSetUp, 4: policy.TimedOut, 14: policy.NoContact,
	10: policy.Reset, 1: policy.Cancelled, 9: policy.NotSent,
}

// decodeReturned decodes the end of an attempt. The low four bits of its reason are the kind: 1 no circuit, 2 crankback, 3 processor
// full, 4 number busy. The bits above them give details: for a crankback, 1 means that the destination is full; for a full
// processor, they are the retry-after time in milliseconds.
func (in *instance) decodeReturned(message *inputMessage) policy.Event {
	message.requireValues(9)
	code, reason := message.integer(6), int64(message.optionalNumber(5, 0))
	cause, ok := causeByCode[code]
	if !ok {
		message.fail("unknown completion code %d", code)
	}
	ev := policy.AttemptEnded{
		Call: message.call(1), Final: message.boolean(2), Delay: message.milliseconds(3), Attempt: int(message.integer(4)), Cause: cause,
		Exchange: message.text(7), Report: in.report(message, 8),
	}
	switch {
	case reason == 18:
		ev.Reason = policy.CrankbackFull
	case reason&15 == 1:
		ev.Reason = policy.NoCircuit
	case reason&15 == 2:
		ev.Reason = policy.Crankback
	case reason&15 == 3:
		ev.Reason, ev.Wait = policy.ProcessorFull, time.Duration(reason>>4)*time.Millisecond
	case reason&15 == 4:
		ev.Reason = policy.NumberBusy
	}
	return ev
}

// appendAction appends one action, encoded as a line, to b.
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
