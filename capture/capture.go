// Package capture writes the frames of associations as pcapng files that Wireshark's own M3UA and ISUP dissectors read. The
// program speaks M3UA over TCP, which those don't know; so each frame is written as what it would be over SCTP: one DATA
// chunk with payload protocol 3 (RFC 4666, 1.4.1), on the addresses and ports of its connection.
package capture

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/gopacket/gopacket/pcapgo"
)

// Config says where and how much.
type Config struct {
	Dir   string
	Bytes int // of a file, about
	Files int // the oldest goes when there are more
	Queue int // frames that wait to be written; beyond, frames are left out and counted
}

// Frame is one frame of an association.
type Frame struct {
	At       time.Time
	From, To netip.AddrPort
	Data     []byte
}

// Writer writes frames without holding up who hands them in.
type Writer struct {
	cfg     Config
	in      chan Frame
	dropped atomic.Uint64
	written atomic.Uint64
}

// New makes a Writer; Run writes.
func New(cfg Config) (*Writer, error) {
	if cfg.Bytes < 1<<12 || cfg.Files < 1 || cfg.Queue < 1 {
		return nil, errors.New("capture: files of 4096 octets at the least, one file and a queue of one are wanted")
	}
	if err := os.MkdirAll(cfg.Dir, 0o750); err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return &Writer{cfg: cfg, in: make(chan Frame, cfg.Queue)}, nil
}

// Put hands in a frame, whose data is copied. It never waits.
func (w *Writer) Put(at time.Time, from, to net.Addr, data []byte) {
	select {
	case w.in <- Frame{at, addrPort(from), addrPort(to), append([]byte(nil), data...)}:
	default:
		w.dropped.Add(1)
	}
}

// Dropped is how many frames were left out because the disk was slower than they.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Written is how many frames are in files.
func (w *Writer) Written() uint64 { return w.written.Load() }

func addrPort(a net.Addr) netip.AddrPort {
	if t, ok := a.(*net.TCPAddr); ok {
		p := t.AddrPort()
		return netip.AddrPortFrom(p.Addr().Unmap(), p.Port())
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 2905)
}

// Run writes until ctx ends, and then what is queued still. An error of the disk ends it; the daemon goes on without.
func (w *Writer) Run(ctx context.Context) error {
	f := &file{w: w, tsn: map[[2]netip.AddrPort]uint32{}}
	defer f.close()
	flush := time.NewTicker(time.Second)
	defer flush.Stop()
	for {
		select {
		case x := <-w.in:
			if err := f.put(x); err != nil {
				return fmt.Errorf("capture: %w", err)
			}
		case <-flush.C:
			if f.ng != nil {
				if err := f.ng.Flush(); err != nil {
					return fmt.Errorf("capture: %w", err)
				}
			}
		case <-ctx.Done():
			for {
				select {
				case x := <-w.in:
					if err := f.put(x); err != nil {
						return fmt.Errorf("capture: %w", err)
					}
					continue
				default:
				}
				return f.close()
			}
		}
	}
}

// file is the ring of files.
type file struct {
	w    *Writer
	f    *os.File
	ng   *pcapgo.NgWriter
	n    int
	used int
	kept []string
	tsn  map[[2]netip.AddrPort]uint32
	buf  gopacket.SerializeBuffer
}

func (f *file) close() error {
	if f.f == nil {
		return nil
	}
	err := errors.Join(f.ng.Flush(), f.f.Close())
	f.f, f.ng = nil, nil
	return err
}

func (f *file) open() error {
	if err := f.close(); err != nil {
		return err
	}
	f.n++
	name := filepath.Join(f.w.cfg.Dir, fmt.Sprintf("umbergauge-%06d.pcapng", f.n))
	var err error
	if f.f, err = os.Create(name); err != nil {
		return err
	}
	if f.ng, err = pcapgo.NewNgWriter(f.f, layers.LinkTypeRaw); err != nil {
		return err
	}
	f.used = 0
	f.kept = append(f.kept, name)
	if len(f.kept) > f.w.cfg.Files {
		os.Remove(f.kept[0])
		f.kept = f.kept[1:]
	}
	return nil
}

// maxAssociations bounds the memory of sequence numbers; beyond, they begin anew.
const maxAssociations = 1 << 16

func (f *file) put(x Frame) error {
	if f.ng == nil || f.used >= f.w.cfg.Bytes {
		if err := f.open(); err != nil {
			return err
		}
	}
	if f.buf == nil {
		f.buf = gopacket.NewSerializeBuffer()
	}
	way := [2]netip.AddrPort{x.From, x.To}
	if len(f.tsn) >= maxAssociations {
		clear(f.tsn)
	}
	f.tsn[way]++
	sctp := &layers.SCTP{SrcPort: layers.SCTPPort(x.From.Port()), DstPort: layers.SCTPPort(x.To.Port()), VerificationTag: tag(x.From) ^ tag(x.To)}
	chunk := &layers.SCTPData{SCTPChunk: layers.SCTPChunk{Type: layers.SCTPChunkTypeData, Length: uint16(16 + len(x.Data))}, BeginFragment: true, EndFragment: true,
		TSN: f.tsn[way], StreamId: 1, StreamSequence: uint16(f.tsn[way]), PayloadProtocol: 3}
	var ip gopacket.SerializableLayer
	if x.From.Addr().Is4() && x.To.Addr().Is4() {
		ip = &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolSCTP, SrcIP: x.From.Addr().AsSlice(), DstIP: x.To.Addr().AsSlice()}
	} else {
		a, b := x.From.Addr().As16(), x.To.Addr().As16()
		ip = &layers.IPv6{Version: 6, HopLimit: 64, NextHeader: layers.IPProtocolSCTP, SrcIP: a[:], DstIP: b[:]}
	}
	if err := gopacket.SerializeLayers(f.buf, gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}, ip, sctp, chunk, gopacket.Payload(x.Data)); err != nil {
		return err
	}
	b := f.buf.Bytes()
	if err := f.ng.WritePacket(gopacket.CaptureInfo{Timestamp: x.At, CaptureLength: len(b), Length: len(b)}, b); err != nil {
		return err
	}
	f.used += len(b) + 32
	f.w.written.Add(1)
	return nil
}

// tag makes a verification tag that both directions of an association share a look of.
func tag(a netip.AddrPort) uint32 {
	b := a.Addr().As16()
	return uint32(b[12])<<24 | uint32(b[15])<<16 | uint32(a.Port())
}

// Read gives every frame of a file, in its order. A file that was cut off gives what is whole, and io.ErrUnexpectedEOF or
// another error of the reader.
func Read(name string, give func(Frame) error) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	r, err := pcapgo.NewNgReader(f, pcapgo.DefaultNgReaderOptions)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	for {
		b, info, err := r.ReadPacketData()
		if err != nil {
			if err.Error() == "EOF" {
				return nil
			}
			return fmt.Errorf("%s: %w", name, err)
		}
		first := layers.LayerTypeIPv4
		if len(b) > 0 && b[0]>>4 == 6 {
			first = layers.LayerTypeIPv6
		}
		p := gopacket.NewPacket(b, first, gopacket.NoCopy)
		data, ok := p.Layer(layers.LayerTypeSCTPData).(*layers.SCTPData)
		sctp, ok2 := p.Layer(layers.LayerTypeSCTP).(*layers.SCTP)
		if !ok || !ok2 || data.PayloadProtocol != 3 {
			continue
		}
		x := Frame{At: info.Timestamp, Data: payload(data)}
		if n := p.NetworkLayer(); n != nil {
			src, dst := n.NetworkFlow().Endpoints()
			a, _ := netip.AddrFromSlice(src.Raw())
			c, _ := netip.AddrFromSlice(dst.Raw())
			x.From, x.To = netip.AddrPortFrom(a, uint16(sctp.SrcPort)), netip.AddrPortFrom(c, uint16(sctp.DstPort))
		}
		if err := give(x); err != nil {
			return err
		}
	}
}

// payload is the content of a chunk without its padding.
func payload(d *layers.SCTPData) []byte {
	b := d.Payload
	if n := int(d.Length) - 16; n >= 0 && n <= len(b) {
		return b[:n]
	}
	return b
}
