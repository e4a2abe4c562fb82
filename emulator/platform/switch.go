// Package platform has emulated switches, name servers and callers of the users' platform, on loopback sockets, for tests of the program as
// a process. It is written from the platform's protocol and shares only the codecs with the program.
package platform

import (
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/umbergauge/umbergauge/platform/discovery"
	"github.com/umbergauge/umbergauge/platform/sip"
)

// Switch accepts every set-up, and releases its call after a while. It reports the state of its trunk group on every connection.
type Switch struct {
	listener    net.Listener
	circuits    int
	answerAfter time.Duration
	callsLast   time.Duration

	mu     sync.Mutex
	setUps map[string]time.Time // when the last set-up of a call came
	links  map[*switchLink]bool
	open   map[string]bool // calls that hold a circuit
}

// NewSwitch starts a switch on a free port. It answers after answerAfter, and calls last for callsLast.
func NewSwitch(circuits int, answerAfter, callsLast time.Duration) (*Switch, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Switch{listener: listener, circuits: circuits, answerAfter: answerAfter, callsLast: callsLast, setUps: map[string]time.Time{},
		links: map[*switchLink]bool{}, open: map[string]bool{}}
	go s.accept()
	return s, nil
}

// Address returns the address at which the switch listens.
func (s *Switch) Address() string { return s.listener.Addr().String() }

// Close ends the switch and its connections.
func (s *Switch) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.links {
		l.Close()
	}
}

// SetUpAt returns when the last set-up of a call came; false: none has.
func (s *Switch) SetUpAt(call string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, came := s.setUps[call]
	return at, came
}

// switchLink is a connection to a switch.
type switchLink struct {
	net.Conn
	mu sync.Mutex
}

func (l *switchLink) send(m *sip.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Write(sip.Append(nil, m))
}

// report sends the state of the trunk group.
func (l *switchLink) report(free, size int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l, "NOTIFY sip:x@net SIP/2.0\r\nCall-ID: x\r\nCSeq: 1 NOTIFY\r\nX-State: free:%d;size:%d\r\nContent-Length: 0\r\n\r\n", free, size)
}

// seize notes that a call holds a circuit or frees it, and reports the state of the trunk group.
func (s *Switch) seize(call string, seized bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[call] == seized {
		return
	}
	if seized {
		s.open[call] = true
	} else {
		delete(s.open, call)
	}
	for l := range s.links {
		l.report(s.circuits-len(s.open), s.circuits)
	}
}

func (s *Switch) isOpen(call string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open[call]
}

func (s *Switch) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(&switchLink{Conn: c})
	}
}

// serve handles the requests on one connection until it ends.
func (s *Switch) serve(l *switchLink) {
	s.mu.Lock()
	s.links[l] = true
	l.report(s.circuits-len(s.open), s.circuits)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.links, l)
		s.mu.Unlock()
		l.Close()
	}()
	scanner := sip.NewScanner(l, nil)
	for {
		m, err := scanner.Next()
		if err != nil {
			return
		}
		switch m.Method {
		case sip.INVITE:
			s.setUp(l, m)
		case sip.CANCEL:
			s.seize(m.CallID, false)
		case sip.BYE:
			s.seize(m.CallID, false)
			l.send(&sip.Message{Status: 200, CallID: m.CallID, CSeq: 1, CSeqMethod: sip.BYE})
		}
	}
}

// setUp answers a set-up that has not been cancelled by then, and releases its call if that still stands at its end.
func (s *Switch) setUp(l *switchLink, m *sip.Message) {
	s.mu.Lock()
	s.setUps[m.CallID] = time.Now()
	s.mu.Unlock()
	s.seize(m.CallID, true)
	time.AfterFunc(s.answerAfter, func() {
		if s.isOpen(m.CallID) {
			l.send(&sip.Message{Status: 200, CallID: m.CallID, CSeq: 1, CSeqMethod: sip.INVITE, Body: []byte("e")})
		}
	})
	time.AfterFunc(s.answerAfter+s.callsLast, func() {
		if s.isOpen(m.CallID) {
			s.seize(m.CallID, false)
			l.send(&sip.Message{Method: sip.BYE, User: m.User, CallID: m.CallID, CSeq: 1, CSeqMethod: sip.BYE, Cause: 16})
		}
	})
}

// NameServer answers every query with one list.
type NameServer struct {
	conn net.PacketConn
	list *discovery.List
}

// NewNameServer starts a name server on a free port.
func NewNameServer(list *discovery.List) (*NameServer, error) {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &NameServer{conn: conn, list: list}
	go n.serve()
	return n, nil
}

// Address returns the address at which the name server is asked.
func (n *NameServer) Address() string { return n.conn.LocalAddr().String() }

// Close ends the name server.
func (n *NameServer) Close() { n.conn.Close() }

// dnsHeaderLen is the length of the header of a DNS message.
const dnsHeaderLen = 12

func (n *NameServer) serve() {
	query := make([]byte, 512)
	for {
		length, from, err := n.conn.ReadFrom(query)
		if err != nil {
			return
		}
		if length < dnsHeaderLen {
			continue
		}
		if answer, err := discovery.BuildAnswer(binary.BigEndian.Uint16(query), n.list); err == nil {
			n.conn.WriteTo(answer, from)
		}
	}
}
