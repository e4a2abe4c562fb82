package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// Patience is how long a usual caller waits for an answer.
const Patience = 3 * time.Second

// closeSlack is the time within which a set-up that crosses the close of its connection is sent again, once.
const closeSlack = 50 * time.Millisecond

// OfferLine is a set-up to the test's switch.
func OfferLine(call string, left time.Duration) string {
	return fmt.Sprintf(`{"op":"offer","call":"%s","with":{"class":"voice","left":"%d","key":"k1","extras":"dest:1;width:1;via:-1"},"desc":"d"}`+"\n",
		call, left.Milliseconds())
}

// Callers are usual callers: they offer calls on shared connections, which they open again when the program has closed them, and note what
// becomes of the calls.
type Callers struct {
	address string

	mu    sync.Mutex
	calls map[string]*call
	conns []net.Conn // nil: it has ended
}

// call is what has become of a call.
type call struct {
	conn     net.Conn
	offered  time.Time
	answered time.Time
	accepted bool
	cause    int
	repeated bool
}

// NewCallers returns callers of the program at an address, with n connections that are opened when they are needed.
func NewCallers(address string, n int) *Callers {
	return &Callers{address: address, calls: map[string]*call{}, conns: make([]net.Conn, n)}
}

// Close closes the connections.
func (u *Callers) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		if c != nil {
			c.Close()
		}
	}
}

// conn returns the connection with a number, and opens it if it has ended.
func (u *Callers) conn(i int) (net.Conn, error) {
	u.mu.Lock()
	c := u.conns[i]
	u.mu.Unlock()
	if c != nil {
		return c, nil
	}
	c, err := net.DialTimeout("tcp4", u.address, Patience)
	if err != nil {
		return nil, err
	}
	u.mu.Lock()
	u.conns[i] = c
	u.mu.Unlock()
	go u.read(c, i)
	return c, nil
}

// read notes the answers that come on a connection. When it ends, the calls offered on it within closeSlack before are offered again.
func (u *Callers) read(c net.Conn, i int) {
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		u.noteLine(lines.Bytes())
	}
	ended := time.Now()
	u.mu.Lock()
	u.conns[i] = nil
	var crossed []string
	for id, call := range u.calls {
		if call.conn == c && call.answered.IsZero() && ended.Sub(call.offered) < closeSlack && !call.repeated {
			call.repeated = true
			crossed = append(crossed, id)
		}
	}
	u.mu.Unlock()
	for _, id := range crossed {
		u.send(i, id)
	}
}

func (u *Callers) noteLine(line []byte) {
	var m struct {
		Op, Call string
		Why      int
	}
	if json.Unmarshal(line, &m) != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if call := u.calls[m.Call]; call != nil && call.answered.IsZero() {
		call.answered, call.accepted, call.cause = time.Now(), m.Op == "accept", m.Why
	}
}

// send sends the set-up of a call on the connection with a number.
func (u *Callers) send(i int, id string) {
	c, err := u.conn(i)
	if err != nil {
		return
	}
	u.mu.Lock()
	u.calls[id].conn = c
	u.mu.Unlock()
	io.WriteString(c, OfferLine(id, Patience))
}

// Offer offers calls at a fixed interval for a while.
func (u *Callers) Offer(d, interval time.Duration) {
	for end, n := time.Now().Add(d), 0; time.Now().Before(end); n++ {
		id := NewCallID()
		u.mu.Lock()
		u.calls[id] = &call{offered: time.Now()}
		u.mu.Unlock()
		u.send(n%len(u.conns), id)
		time.Sleep(interval)
	}
}

// Outcome is what has become of the usual callers' calls.
type Outcome struct {
	Offered, Accepted, Unanswered, NotServed int
	Slowest, Median                          time.Duration
	Causes                                   map[int]int // of those that were not served
}

// String returns the figures in one line.
func (o Outcome) String() string {
	return fmt.Sprintf("%d offered, %d accepted, %d ended otherwise %v, %d unanswered, median %v, slowest %v", o.Offered, o.Accepted, o.NotServed, o.Causes,
		o.Unanswered, o.Median.Round(time.Millisecond), o.Slowest.Round(time.Millisecond))
}

// Outcome returns what has become of the calls so far.
func (u *Callers) Outcome() (o Outcome) {
	u.mu.Lock()
	defer u.mu.Unlock()
	o.Causes = map[int]int{}
	var delays []time.Duration
	for _, call := range u.calls {
		o.Offered++
		switch {
		case call.answered.IsZero():
			o.Unanswered++
			continue
		case call.accepted:
			o.Accepted++
		default:
			o.NotServed++
			o.Causes[call.cause]++
		}
		delays = append(delays, call.answered.Sub(call.offered))
	}
	slices.Sort(delays)
	if len(delays) > 0 {
		o.Median, o.Slowest = delays[len(delays)/2], delays[len(delays)-1]
	}
	return o
}

// WaitForAnswers returns the outcome once every call is answered or its caller's time is up.
func (u *Callers) WaitForAnswers() Outcome {
	for deadline := time.Now().Add(Patience); ; time.Sleep(20 * time.Millisecond) {
		if o := u.Outcome(); o.Unanswered == 0 || time.Now().After(deadline) {
			return o
		}
	}
}

// ManyFields is a set-up of about 15 kB with very many short fields.
func ManyFields(call string) string {
	var b strings.Builder
	b.WriteString(strings.TrimSuffix(OfferLine(call, Patience), "}\n"))
	for i := 0; b.Len() < 15000; i++ {
		fmt.Fprintf(&b, `,"%x":1`, i)
	}
	return b.String() + "}\n"
}
