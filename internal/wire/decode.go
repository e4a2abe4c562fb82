package wire

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"github.com/umbergauge/umbergauge/policy"
)

// inputMessage is one received message: its name and values. Its methods decode single values and record the first error in err.
type inputMessage struct {
	name   string
	values []*fastjson.Value
	err    error
}

// parseMessage parses one line: an array of a name and values.
func (h *host) parseMessage(text []byte) (*inputMessage, error) {
	values, err := h.parser.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("not JSON: %s", clip(string(text)))
	}
	list, err := values.Array()
	if err != nil || len(list) == 0 || list[0].Type() != fastjson.TypeString {
		return nil, errors.New("not a message: expected an array that begins with a name")
	}
	return &inputMessage{name: string(list[0].GetStringBytes()), values: list[1:]}, nil
}

// clip quotes received text for an error message and shortens it to 40 octets.
func clip(s string) string {
	if len(s) > 40 {
		s = s[:40] + "..."
	}
	return fmt.Sprintf("%q", s)
}

// fail records an error unless there is one already.
func (m *inputMessage) fail(format string, values ...any) {
	if m.err == nil {
		m.err = fmt.Errorf(format, values...)
	}
}

// requireValues records an error if the message has fewer than n values.
func (m *inputMessage) requireValues(n int) {
	if len(m.values) < n {
		m.fail("%s has %d values, expected at least %d", clip(m.name), len(m.values), n)
	}
}

// value returns value i, or nil if it is missing or null.
func (m *inputMessage) value(i int) *fastjson.Value {
	if i >= len(m.values) || m.values[i].Type() == fastjson.TypeNull {
		return nil
	}
	return m.values[i]
}

// optionalNumber returns value i as a number of at most 1e15 in magnitude, or missing if there is none.
func (m *inputMessage) optionalNumber(i int, missing float64) float64 {
	v := m.value(i)
	if v == nil {
		return missing
	}
	f, err := v.Float64()
	if err != nil || math.IsNaN(f) || math.Abs(f) > 1e15 {
		m.fail("value %d of %s is not a number in the range of -1e15 to 1e15", i, clip(m.name))
		return missing
	}
	return f
}

// integer returns value i, which must be a whole number.
func (m *inputMessage) integer(i int) int64 {
	if m.value(i) == nil {
		m.fail("value %d of %s is missing", i, clip(m.name))
		return 0
	}
	f := m.optionalNumber(i, 0)
	if f != math.Trunc(f) {
		m.fail("value %d of %s is not a whole number", i, clip(m.name))
	}
	return int64(f)
}

// unsigned returns value i as an unsigned integer of 64 bits.
func (m *inputMessage) unsigned(i int) uint64 {
	v := m.value(i)
	if v == nil {
		m.fail("value %d of %s is missing", i, clip(m.name))
		return 0
	}
	u, err := v.Uint64()
	if err != nil {
		m.fail("value %d of %s is not a whole number", i, clip(m.name))
	}
	return u
}

// call returns value i as a call identifier of 32 bits.
func (m *inputMessage) call(i int) uint64 {
	id := m.unsigned(i)
	if id >= 1<<32 {
		m.fail("value %d of %s is not a call identifier: it exceeds 32 bits", i, clip(m.name))
	}
	return id
}

// milliseconds returns value i, a number of milliseconds, as a duration.
func (m *inputMessage) milliseconds(i int) time.Duration {
	if m.value(i) == nil {
		m.fail("value %d of %s is missing", i, clip(m.name))
		return 0
	}
	return durationOf(m.optionalNumber(i, 0))
}

// durationOf converts milliseconds, rounded to microseconds.
func durationOf(ms float64) time.Duration {
	if math.Abs(ms) > 9e12 { // the result must fit into a Duration
		ms = math.Copysign(9e12, ms)
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

func (m *inputMessage) text(i int) string {
	v := m.value(i)
	if v == nil || v.Type() != fastjson.TypeString {
		m.fail("value %d of %s is not a string", i, clip(m.name))
		return ""
	}
	return string(v.GetStringBytes())
}

func (m *inputMessage) optionalText(i int) string {
	if m.value(i) == nil {
		return ""
	}
	return m.text(i)
}

func (m *inputMessage) boolean(i int) bool {
	v := m.value(i)
	if v == nil || v.Type() != fastjson.TypeTrue && v.Type() != fastjson.TypeFalse {
		m.fail("value %d of %s is not true or false", i, clip(m.name))
		return false
	}
	return v.GetBool()
}

// healthByName maps the names of the states of switches in a list.
var healthByName = map[string]policy.Health{"Ready": policy.Ready, "Terminating": policy.Draining, "Gone": policy.Removed}

// entries returns value i as a list of switches.
func (m *inputMessage) entries(i int) []policy.Entry {
	values := m.value(i)
	if values == nil || values.Type() != fastjson.TypeArray {
		m.fail("value %d of %s is not a list", i, clip(m.name))
		return nil
	}
	items := values.GetArray()
	entries := make([]policy.Entry, 0, len(items))
	for _, item := range items {
		entry := &inputMessage{name: "entry", values: item.GetArray()}
		entry.requireValues(7)
		if entry.err == nil {
			health, ok := healthByName[entry.text(4)]
			if !ok {
				entry.fail("unknown health state %s", clip(entry.text(4)))
			}
			entries = append(entries, policy.Entry{Address: entry.text(5), PointCode: int(entry.integer(6)), Health: health,
				StartedAt: durationOf(entry.optionalNumber(1, 0))})
		}
		if entry.err != nil {
			m.fail("%s: %w", m.name, entry.err)
			return nil
		}
	}
	return entries
}

// reportField is a field of a load report: its name and how its value is stored.
type reportField struct {
	name string
	set  func(*policy.Report, float64)
}

// reportFieldByName maps the known field names of load reports.
var reportFieldByName = map[string]func(*policy.Report, float64){
	"free":      func(r *policy.Report, f float64) { r.Free = f },
	"size":      func(r *policy.Report, f float64) { r.Size = f },
	"cpu_share": func(r *policy.Report, f float64) { r.Utilisation = f },
	"pending":   func(r *policy.Report, f float64) { r.Queue = f },
	"can_take":  func(r *policy.Report, f float64) { r.Rate = f },
	"svc_ms":    func(r *policy.Report, f float64) { r.Wait = f / 1000 },
	"hold_back": func(r *policy.Report, f float64) { r.Reduction = f },
}

// unknownReport has the value -1, unknown, in all fields.
var unknownReport = policy.Report{Free: -1, Size: -1, Utilisation: -1, Queue: -1, Rate: -1, Wait: -1, Reduction: -1}

// report returns value i as a load report, or nil if there is none.
func (in *instance) report(message *inputMessage, i int) *policy.Report {
	object := message.value(i)
	if object == nil {
		return nil
	}
	if object.Type() != fastjson.TypeObject {
		message.fail("value %d of %s is not a load report", i, clip(message.name))
		return nil
	}
	r := readReport(in.reportFields, func(name string) (float64, bool) {
		field := object.Get(name)
		if field == nil {
			return 0, false
		}
		number, err := field.Float64()
		return number, err == nil
	})
	return &r
}

// settings decodes the settings in a Hello message.
func (m *inputMessage) settings(i int) (policy.Config, []reportField) {
	v := m.value(i)
	if v == nil {
		m.fail("Hello: settings are missing")
		return policy.Config{}, nil
	}
	s, err := Decode(v)
	if err != nil {
		m.fail("%w", err)
	}
	return s.Policy, s.reportFields
}
