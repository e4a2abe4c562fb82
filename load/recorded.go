package load

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/umbergauge/umbergauge/isup"
)

// A recorded load is CSV with this header. at and hold are durations since the first call and of the conversation; an empty
// hold is drawn from the class, an empty client is any.
var recordHeader = []string{"at", "category", "called", "hold", "client"}

// maxRecorded bounds the calls of a record that are held in memory.
const maxRecorded = 10_000_000

// ReadRecord reads a recorded load; name stands in its errors, with the line.
func ReadRecord(name string, r io.Reader, c *Config) ([]Arrival, error) {
	f := csv.NewReader(r)
	f.FieldsPerRecord, f.ReuseRecord, f.Comment = len(recordHeader), true, '#'
	head, err := f.Read()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if !slices.Equal(head, recordHeader) {
		return nil, fmt.Errorf("%s: the header is %q, not %q", name, head, recordHeader)
	}
	var out []Arrival
	for {
		row, err := f.Read()
		if errors.Is(err, io.EOF) {
			if len(out) == 0 {
				return nil, fmt.Errorf("%s: it holds no call", name)
			}
			return out, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		a, field, err := parseArrival(row, c)
		if err == nil && len(out) > 0 && a.At < out[len(out)-1].At {
			field, err = 0, errors.New("earlier than the call before")
		}
		if err == nil && len(out) == maxRecorded {
			err = fmt.Errorf("more than %d calls", maxRecorded)
		}
		if err != nil {
			line, column := f.FieldPos(field)
			return nil, fmt.Errorf("%s:%d:%d: %s %q: %w", name, line, column, recordHeader[field], row[field], err)
		}
		out = append(out, a)
	}
}

// parseArrival reads one line; field is the one at fault.
func parseArrival(row []string, c *Config) (a Arrival, field int, err error) {
	if a.At, err = time.ParseDuration(row[0]); err != nil || a.At < 0 {
		return a, 0, errors.New("no duration of zero or more")
	}
	category, err := strconv.Atoi(row[1])
	if err != nil {
		return a, 1, errors.New("no category")
	}
	if a.Class = slices.IndexFunc(c.Classes, func(x Class) bool { return x.Category == category }); a.Class < 0 {
		return a, 1, errors.New("no class of this load has it")
	}
	if _, err = isup.ParseNumber(4, row[2]); err != nil || row[2] == "" {
		return a, 2, errors.New("no number")
	}
	a.Called = row[2]
	a.Hold = -1
	if row[3] != "" {
		if a.Hold, err = time.ParseDuration(row[3]); err != nil || a.Hold < 0 {
			return a, 3, errors.New("no duration of zero or more")
		}
	}
	a.Client = -1
	if row[4] != "" {
		if a.Client, err = strconv.Atoi(row[4]); err != nil || a.Client < 0 {
			return a, 4, errors.New("no client, counted from 0")
		}
	}
	return a, 0, nil
}

// openRecord reads the record of a load that a file names, beside that file.
func (c *Config) openRecord(beside string) error {
	path := c.Record
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(beside), path)
	}
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	c.recorded, err = ReadRecord(path, f, c)
	return err
}

// nextRecorded is the next call of the record that this part of the load offers.
func (a *Arrivals) nextRecorded() (next Arrival, ok bool) {
	for n := max(1, a.c.parts); a.read < len(a.c.recorded); {
		next = a.c.recorded[a.read]
		mine := a.read%n == a.c.part
		a.read++
		if next.At >= a.c.Span {
			break
		}
		if !mine {
			continue
		}
		if next.Hold < 0 {
			next.Hold = time.Duration(a.rng.ExpFloat64() * float64(a.c.Classes[next.Class].Hold))
		}
		if next.Client < 0 {
			next.Client = a.rng.IntN(a.c.Clients)
		}
		next.Client %= a.c.Clients
		return next, true
	}
	return Arrival{}, false
}

// Recorder makes a record of the calls that clients have offered, from the messages on their circuits. It does no I/O.
type Recorder struct {
	calls []recordedCall
	on    map[circuitOf]int // the call on a circuit
	peers map[string]int    // clients in the order of their first call
}

type recordedCall struct {
	at       time.Duration
	category isup.Category
	called   string
	client   int
	stoodAt  time.Duration
	hold     time.Duration
}

type circuitOf struct {
	client string
	opc    uint32
	cic    uint16
}

// Message takes a message between a client and its controller: client names the client's end of the connection, opc is the
// client's point code.
func (r *Recorder) Message(at time.Duration, client string, opc uint32, m *isup.Message) {
	if r.on == nil {
		r.on, r.peers = map[circuitOf]int{}, map[string]int{}
	}
	key := circuitOf{client, opc, m.CIC}
	i, busy := r.on[key]
	switch m.Type {
	case isup.IAM:
		if len(r.calls) >= maxRecorded {
			return
		}
		n, known := r.peers[client]
		if !known {
			n = len(r.peers)
			r.peers[client] = n
		}
		r.on[key] = len(r.calls)
		r.calls = append(r.calls, recordedCall{at: at, category: m.Category, called: m.Called.String(), client: n, hold: -1})
	case isup.ANM, isup.CON:
		if busy {
			r.calls[i].stoodAt = at
		}
	case isup.REL, isup.RSC:
		if busy && r.calls[i].stoodAt > 0 {
			r.calls[i].hold = at - r.calls[i].stoodAt
		}
		delete(r.on, key)
	}
}

// Write writes the record; times are from its first call on.
func (r *Recorder) Write(w io.Writer) error {
	f := csv.NewWriter(w)
	if err := f.Write(recordHeader); err != nil {
		return err
	}
	for _, k := range r.calls {
		hold := ""
		if k.hold >= 0 {
			hold = k.hold.String()
		}
		row := []string{(k.at - r.calls[0].at).String(), strconv.Itoa(int(k.category)), k.called, hold, strconv.Itoa(k.client)}
		if err := f.Write(row); err != nil {
			return err
		}
	}
	f.Flush()
	return f.Error()
}
