package platform

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// misuses are what clients do to the program, each until its connection ends.
var misuses = map[string]func(c net.Conn){
	"octets":      sendOctets,
	"half":        sendHalf,
	"fields":      sendManyFields,
	"values":      sendManyValues,
	"expiring":    sendExpiring,
	"unsound":     sendUnsound,
	"unknown-end": sendUnknownEnds,
	"small":       sendSmall,
	"test":        sendTests,
}

// floodBatch is how many lines a flooding client writes at once.
const floodBatch = 64

// flood sends lines as fast as it can, and reads what is sent to it.
func flood(c net.Conn, line func() string) {
	go io.Copy(io.Discard, c)
	for {
		var batch strings.Builder
		for range floodBatch {
			batch.WriteString(line())
		}
		if _, err := io.WriteString(c, batch.String()); err != nil {
			return
		}
	}
}

// NewCallID returns an id that no call has had.
func NewCallID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// sendOctets writes a set-up one octet at a time.
func sendOctets(c net.Conn) {
	for _, b := range []byte(ManyFields(NewCallID())) {
		if _, err := c.Write([]byte{b}); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// sendHalf stops half way through a large set-up.
func sendHalf(c net.Conn) {
	io.WriteString(c, ManyFields(NewCallID())[:8000])
	io.Copy(io.Discard, c)
}

// sendManyFields sends set-ups of very many short fields as fast as it can.
func sendManyFields(c net.Conn) {
	go io.Copy(io.Discard, c)
	line := ManyFields("0000000000000000")
	for {
		if _, err := io.WriteString(c, strings.Replace(line, "0000000000000000", NewCallID(), 1)); err != nil {
			return
		}
	}
}

// sendManyValues sends set-ups with an array of very many values as fast as it can.
func sendManyValues(c net.Conn) {
	go io.Copy(io.Discard, c)
	line := strings.TrimSuffix(OfferLine("0000000000000000", Patience), "}\n") + `,"x":[` + strings.Repeat("0,", 7500) + "0]}\n"
	for {
		if _, err := io.WriteString(c, strings.Replace(line, "0000000000000000", NewCallID(), 1)); err != nil {
			return
		}
	}
}

// sendExpiring sends set-ups with 1 ms of time, under ever new ids, as fast as it can.
func sendExpiring(c net.Conn) {
	flood(c, func() string { return OfferLine(NewCallID(), time.Millisecond) })
}

// sendUnsound sends set-ups of a class that does not exist, under ever new ids, as fast as it can.
func sendUnsound(c net.Conn) {
	flood(c, func() string { return strings.Replace(OfferLine(NewCallID(), time.Second), "voice", "none", 1) })
}

// sendUnknownEnds ends calls that do not exist, under ever new ids, as fast as it can.
func sendUnknownEnds(c net.Conn) {
	flood(c, func() string { return fmt.Sprintf(`{"op":"end","call":"%s","with":{},"why":16}`+"\n", NewCallID()) })
}

// sendSmall sends sound set-ups as fast as it can.
func sendSmall(c net.Conn) {
	flood(c, func() string { return OfferLine(NewCallID(), Patience) })
}

// sendTests sends test messages as fast as it can.
func sendTests(c net.Conn) {
	flood(c, func() string { return `{"op":"test","call":"` + NewCallID() + `","with":{},"why":0}` + "\n" })
}

// Misuse is what clients do to the program at an address.
type Misuse struct {
	Kind    string
	Address string
	Clients int
	Lasts   time.Duration
}

// String returns the misuse as text that ParseMisuse reads.
func (m Misuse) String() string {
	return fmt.Sprintf("%s %s %d %v", m.Kind, m.Address, m.Clients, m.Lasts)
}

// ParseMisuse reads the text of a misuse.
func ParseMisuse(text string) (m Misuse, err error) {
	var lasts string
	if _, err = fmt.Sscan(text, &m.Kind, &m.Address, &m.Clients, &lasts); err != nil {
		return m, fmt.Errorf("misuse %q: %w", text, err)
	}
	if misuses[m.Kind] == nil {
		return m, fmt.Errorf("misuse %q: unknown kind", text)
	}
	m.Lasts, err = time.ParseDuration(lasts)
	return m, err
}

// reconnectInterval is how long a misusing client waits before it connects again.
const reconnectInterval = 10 * time.Millisecond

// Play runs the clients until the time is up; it leaves them behind, so the process has to end then.
func (m Misuse) Play() {
	for range m.Clients {
		go func() {
			for {
				if c, err := net.Dial("tcp4", m.Address); err == nil {
					misuses[m.Kind](c)
					c.Close()
				}
				time.Sleep(reconnectInterval)
			}
		}()
	}
	time.Sleep(m.Lasts)
}
