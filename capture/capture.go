// Package capture writes the frames of associations to pcapng files that Wireshark's M3UA and ISUP dissectors can read. The
// program runs M3UA over TCP, which these dissectors do not support, so each frame is written as an SCTP packet with one DATA
// chunk, payload protocol identifier 3 (RFC 4666, 1.4.1), and the addresses and ports of its TCP connection.
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

// Config sets the directory and the limits of a capture.
type Config struct {
	Dir   string // directory, created if missing
	Bytes int    // approximate maximum size of a file
	Files int    // maximum number of files; the oldest is removed when there are more
	Queue int    // frames that may wait to be written; further ones are dropped and counted
}

// Frame is one frame of an association.
type Frame struct {
	At       time.Time
	From, To netip.AddrPort
	Data     []byte
}

// Writer writes frames in the background, so that Put does not block.
type Writer struct {
	cfg     Config
	queue   chan Frame
	dropped atomic.Uint64
	written atomic.Uint64
}

// New creates a Writer and its directory; Run writes the frames.
func New(cfg Config) (*Writer, error) {
	if cfg.Bytes < 1<<12 || cfg.Files < 1 || cfg.Queue < 1 {
		return nil, errors.New("capture: file size must be at least 4096 octets, number of files and queue at least 1")
	}
	if err := os.MkdirAll(cfg.Dir, 0o750); err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return &Writer{cfg: cfg, queue: make(chan Frame, cfg.Queue)}, nil
}

// Put queues a copy of a frame. It never blocks: if the queue is full, the frame is dropped.
func (w *Writer) Put(timestamp time.Time, from, to net.Addr, data []byte) {
	select {
	case w.queue <- Frame{timestamp, addrPort(from), addrPort(to), append([]byte(nil), data...)}:
	default:
		w.dropped.Add(1)
	}
}

// Dropped returns the number of frames dropped because the queue was full.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Written returns the number of frames written to files.
func (w *Writer) Written() uint64 { return w.written.Load() }

// addrPort returns the address and port of a TCP address, and 127.0.0.1:2905 for any other.
func addrPort(addr net.Addr) netip.AddrPort {
	if tcpAddr, ok := addr.(*net.TCPAddr); ok {
		endpoint := tcpAddr.AddrPort()
		return netip.AddrPortFrom(endpoint.Addr().Unmap(), endpoint.Port())
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 2905)
}

// Run writes frames until ctx is done, and then the frames still in the queue. A write error ends it; the daemon continues
// without the capture.
func (w *Writer) Run(ctx context.Context) error {
	f := &fileRing{writer: w, lastTSN: map[[2]netip.AddrPort]uint32{}}
	defer f.close()
	flush := time.NewTicker(time.Second)
	defer flush.Stop()
	for {
		select {
		case frame := <-w.queue:
			if err := f.put(frame); err != nil {
				return fmt.Errorf("capture: %w", err)
			}
		case <-flush.C:
			if f.pcap != nil {
				if err := f.pcap.Flush(); err != nil {
					return fmt.Errorf("capture: %w", err)
				}
			}
		case <-ctx.Done():
			for {
				select {
				case frame := <-w.queue:
					if err := f.put(frame); err != nil {
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

// fileRing writes to the newest file of the capture and removes the oldest.
type fileRing struct {
	writer   *Writer
	file     *os.File
	pcap     *pcapgo.NgWriter
	sequence int
	size     int
	names    []string
	lastTSN  map[[2]netip.AddrPort]uint32
	buf      gopacket.SerializeBuffer
}

func (f *fileRing) close() error {
	if f.file == nil {
		return nil
	}
	err := errors.Join(f.pcap.Flush(), f.file.Close())
	f.file, f.pcap = nil, nil
	return err
}

// open starts the next file and removes the oldest if there are too many.
func (f *fileRing) open() error {
	if err := f.close(); err != nil {
		return err
	}
	f.sequence++
	name := filepath.Join(f.writer.cfg.Dir, fmt.Sprintf("umbergauge-%06d.pcapng", f.sequence))
	var err error
	if f.file, err = os.Create(name); err != nil {
		return err
	}
	if f.pcap, err = pcapgo.NewNgWriter(f.file, layers.LinkTypeRaw); err != nil {
		return err
	}
	f.size = 0
	f.names = append(f.names, name)
	if len(f.names) > f.writer.cfg.Files {
		os.Remove(f.names[0])
		f.names = f.names[1:]
	}
	return nil
}

// maxDirections limits the memory used for sequence numbers, two directions per association; at the limit all of them restart.
const maxDirections = 1 << 16

// put writes one frame as an SCTP packet.
func (f *fileRing) put(frame Frame) error {
	if f.pcap == nil || f.size >= f.writer.cfg.Bytes {
		if err := f.open(); err != nil {
			return err
		}
	}
	if f.buf == nil {
		f.buf = gopacket.NewSerializeBuffer()
	}
	direction := [2]netip.AddrPort{frame.From, frame.To}
	if len(f.lastTSN) >= maxDirections {
		clear(f.lastTSN)
	}
	f.lastTSN[direction]++
	header := &layers.SCTP{SrcPort: layers.SCTPPort(frame.From.Port()), DstPort: layers.SCTPPort(frame.To.Port()), VerificationTag: verificationTag(frame.From) ^ verificationTag(frame.To)}
	chunk := &layers.SCTPData{SCTPChunk: layers.SCTPChunk{Type: layers.SCTPChunkTypeData, Length: uint16(16 + len(frame.Data))}, BeginFragment: true, EndFragment: true,
		TSN: f.lastTSN[direction], StreamId: 1, StreamSequence: uint16(f.lastTSN[direction]), PayloadProtocol: 3}
	var ip gopacket.SerializableLayer
	if frame.From.Addr().Is4() && frame.To.Addr().Is4() {
		ip = &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolSCTP, SrcIP: frame.From.Addr().AsSlice(), DstIP: frame.To.Addr().AsSlice()}
	} else {
		a, b := frame.From.Addr().As16(), frame.To.Addr().As16()
		ip = &layers.IPv6{Version: 6, HopLimit: 64, NextHeader: layers.IPProtocolSCTP, SrcIP: a[:], DstIP: b[:]}
	}
	if err := gopacket.SerializeLayers(f.buf, gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}, ip, header, chunk, gopacket.Payload(frame.Data)); err != nil {
		return err
	}
	b := f.buf.Bytes()
	if err := f.pcap.WritePacket(gopacket.CaptureInfo{Timestamp: frame.At, CaptureLength: len(b), Length: len(b)}, b); err != nil {
		return err
	}
	f.size += len(b) + 32
	f.writer.written.Add(1)
	return nil
}

// verificationTag returns one end's part of an association's verification tag. The tag is the exclusive or of the parts of both
// ends, so it is the same in both directions.
func verificationTag(addr netip.AddrPort) uint32 {
	octets := addr.Addr().As16()
	return uint32(octets[12])<<24 | uint32(octets[15])<<16 | uint32(addr.Port())
}

// Read passes every frame of a file to handle, in order. From a truncated file it reads all complete frames, and then returns
// io.ErrUnexpectedEOF or another error of the reader.
func Read(name string, handle func(Frame) error) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	reader, err := pcapgo.NewNgReader(f, pcapgo.DefaultNgReaderOptions)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	for {
		packet, info, err := reader.ReadPacketData()
		if err != nil {
			if err.Error() == "EOF" {
				return nil
			}
			return fmt.Errorf("%s: %w", name, err)
		}
		firstLayer := layers.LayerTypeIPv4
		if len(packet) > 0 && packet[0]>>4 == 6 {
			firstLayer = layers.LayerTypeIPv6
		}
		decoded := gopacket.NewPacket(packet, firstLayer, gopacket.NoCopy)
		data, hasData := decoded.Layer(layers.LayerTypeSCTPData).(*layers.SCTPData)
		header, hasSCTP := decoded.Layer(layers.LayerTypeSCTP).(*layers.SCTP)
		if !hasData || !hasSCTP || data.PayloadProtocol != 3 {
			continue
		}
		frame := Frame{At: info.Timestamp, Data: payload(data)}
		if network := decoded.NetworkLayer(); network != nil {
			src, dst := network.NetworkFlow().Endpoints()
			srcAddr, _ := netip.AddrFromSlice(src.Raw())
			dstAddr, _ := netip.AddrFromSlice(dst.Raw())
			frame.From, frame.To = netip.AddrPortFrom(srcAddr, uint16(header.SrcPort)), netip.AddrPortFrom(dstAddr, uint16(header.DstPort))
		}
		if err := handle(frame); err != nil {
			return err
		}
	}
}

// payload returns the content of a chunk without its padding.
func payload(chunk *layers.SCTPData) []byte {
	octets := chunk.Payload
	if length := int(chunk.Length) - 16; length >= 0 && length <= len(octets) {
		return octets[:length]
	}
	return octets
}
