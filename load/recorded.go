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

// recordHeader is the header of the CSV file of a recorded load. at is the time since the first call, hold the time from answer
// to release; an empty hold is drawn as for the class, an empty client is drawn at random.
var recordHeader = []string{"at", "category", "called", "hold", "client"}

// maxRecorded limits the recorded calls that are held in memory.
const maxRecorded = 10_000_000

// ReadRecord reads the CSV file of a recorded load; its errors show name as the file, and the line.
func ReadRecord(name string, input io.Reader, cfg *Config) ([]Arrival, error) {
	reader := csv.NewReader(input)
	reader.FieldsPerRecord, reader.ReuseRecord, reader.Comment = len(recordHeader), true, '#'
	header, err := reader.Read()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if !slices.Equal(header, recordHeader) {
		return nil, fmt.Errorf("%s: the header is %q, want %q", name, header, recordHeader)
	}
	var arrivals []Arrival
	for {
		row, err := reader.Read()
		if errors.Is(err, io.EOF) {
			if len(arrivals) == 0 {
				return nil, fmt.Errorf("%s: the file holds no call", name)
			}
			return arrivals, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		arrival, field, err := parseArrival(row, cfg)
		if err == nil && len(arrivals) > 0 && arrival.At < arrivals[len(arrivals)-1].At {
			field, err = 0, errors.New("must not be earlier than the preceding call")
		}
		if err == nil && len(arrivals) == maxRecorded {
			err = fmt.Errorf("the file has more than %d calls", maxRecorded)
		}
		if err != nil {
			line, column := reader.FieldPos(field)
			return nil, fmt.Errorf("%s:%d:%d: %s %q: %w", name, line, column, recordHeader[field], row[field], err)
		}
		arrivals = append(arrivals, arrival)
	}
}

// parseArrival parses one row; field is the index of the invalid field if err is not nil.
func parseArrival(row []string, cfg *Config) (arrival Arrival, field int, err error) {
	if arrival.At, err = time.ParseDuration(row[0]); err != nil || arrival.At < 0 {
		return arrival, 0, errors.New("not a duration of at least 0")
	}
	category, err := strconv.Atoi(row[1])
	if err != nil {
		return arrival, 1, errors.New("not a category number")
	}
	if arrival.Class = slices.IndexFunc(cfg.Classes, func(x Class) bool { return x.Category == category }); arrival.Class < 0 {
		return arrival, 1, errors.New("no class of this load has this category")
	}
	if _, err = isup.ParseNumber(4, row[2]); err != nil || row[2] == "" {
		return arrival, 2, errors.New("not a valid number")
	}
	arrival.Called = row[2]
	arrival.Hold = -1
	if row[3] != "" {
		if arrival.Hold, err = time.ParseDuration(row[3]); err != nil || arrival.Hold < 0 {
			return arrival, 3, errors.New("not a duration of at least 0")
		}
	}
	arrival.Client = -1
	if row[4] != "" {
		if arrival.Client, err = strconv.Atoi(row[4]); err != nil || arrival.Client < 0 {
			return arrival, 4, errors.New("not a client index (from 0)")
		}
	}
	return arrival, 0, nil
}

// openRecord reads the recorded calls that the load's file names; a relative path is relative to that file.
func (c *Config) openRecord(configPath string) error {
	path := c.Record
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(configPath), path)
	}
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	c.recorded, err = ReadRecord(path, file, c)
	return err
}

// nextRecorded returns the next recorded call that this part of the load offers.
func (a *Arrivals) nextRecorded() (next Arrival, ok bool) {
	for partCount := max(1, a.cfg.parts); a.nextRow < len(a.cfg.recorded); {
		next = a.cfg.recorded[a.nextRow]
		selected := a.nextRow%partCount == a.cfg.part
		a.nextRow++
		if next.At >= a.cfg.Span {
			break
		}
		if !selected {
			continue
		}
		if next.Hold < 0 {
			next.Hold = time.Duration(a.rng.ExpFloat64() * float64(a.cfg.Classes[next.Class].Hold))
		}
		if next.Client < 0 {
			next.Client = a.rng.IntN(a.cfg.Clients)
		}
		next.Client %= a.cfg.Clients
		return next, true
	}
	return Arrival{}, false
}

// Recorder builds a recorded load: it derives the calls that clients offered from the messages on their circuits. Only Write does
// I/O.
type Recorder struct {
	calls         []recordedCall
	callByCircuit map[circuitKey]int // index in calls of the last call on a circuit
	clientIndex   map[string]int     // index of each client, in the order of their first calls
}

type recordedCall struct {
	at         time.Duration
	category   isup.Category
	called     string
	client     int
	answeredAt time.Duration
	hold       time.Duration
}

type circuitKey struct {
	client string
	opc    uint32
	cic    uint16
}

// Message processes a message between a client and its controller: client identifies the client's end of the connection, opc is
// the client's point code.
func (r *Recorder) Message(at time.Duration, client string, opc uint32, msg *isup.Message) {
	if r.callByCircuit == nil {
		r.callByCircuit, r.clientIndex = map[circuitKey]int{}, map[string]int{}
	}
	key := circuitKey{client, opc, msg.CIC}
	i, active := r.callByCircuit[key]
	switch msg.Type {
	case isup.IAM:
		if len(r.calls) >= maxRecorded {
			return
		}
		index, known := r.clientIndex[client]
		if !known {
			index = len(r.clientIndex)
			r.clientIndex[client] = index
		}
		r.callByCircuit[key] = len(r.calls)
		r.calls = append(r.calls, recordedCall{at: at, category: msg.Category, called: msg.Called.String(), client: index, hold: -1})
	case isup.ANM, isup.CON:
		if active {
			r.calls[i].answeredAt = at
		}
	case isup.REL, isup.RSC:
		if active && r.calls[i].answeredAt > 0 {
			r.calls[i].hold = at - r.calls[i].answeredAt
		}
		delete(r.callByCircuit, key)
	}
}

// Write writes the recorded load as CSV; times count from the first call.
func (r *Recorder) Write(output io.Writer) error {
	writer := csv.NewWriter(output)
	if err := writer.Write(recordHeader); err != nil {
		return err
	}
	for _, call := range r.calls {
		hold := ""
		if call.hold >= 0 {
			hold = call.hold.String()
		}
		row := []string{(call.at - r.calls[0].at).String(), strconv.Itoa(int(call.category)), call.called, hold, strconv.Itoa(call.client)}
		if err := writer.Write(row); err != nil {
			return err
		}
	}
	writer.Flush()
	return writer.Error()
}
