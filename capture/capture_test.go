package capture

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
)

func frame(i int) []byte {
	n, _ := isup.ParseNumber(4, "820112345")
	return m3ua.Append(nil, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: 101, DPC: 102, SI: 5, NI: 2,
		User: isup.Append(nil, &isup.Message{Type: isup.IAM, CIC: uint16(i), Category: isup.CategoryOrdinary, TransmissionMedium: 3, Called: n})}})
}

// write puts frames on a connection of 127.0.0.1, alternating directions, and returns the writer.
func write(t *testing.T, cfg Config, n int) *Writer {
	t.Helper()
	w, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	a, b := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 5001}, &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 2905}
	for i := range n {
		if i%2 == 1 {
			a, b = b, a
		}
		w.Put(time.Unix(1700000000, int64(i)*1000000), a, b, frame(i))
	}
	go func() { done <- w.Run(ctx) }()
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	return w
}

func files(t *testing.T, dir string) []string {
	t.Helper()
	f, err := filepath.Glob(filepath.Join(dir, "*.pcapng"))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// What is written is read again: frames, times and addresses.
func TestRoundTrip(t *testing.T) {
	dir := t.TempDir()
	if w := write(t, Config{dir, 1 << 20, 3, 1000}, 101); w.Written() != 101 || w.Dropped() != 0 {
		t.Fatalf("%d written, %d left out", w.Written(), w.Dropped())
	}
	i := 0
	for _, f := range files(t, dir) {
		if err := Read(f, func(x Frame) error {
			if !bytes.Equal(x.Data, frame(i)) {
				t.Errorf("frame %d is %x", i, x.Data)
			}
			if ms := x.At.Sub(time.Unix(1700000000, 0)).Milliseconds(); ms != int64(i) {
				t.Errorf("frame %d at %d ms", i, ms)
			}
			if port := x.To.Port(); (port == 2905) != (i%4 == 0 || i%4 == 3) && (port == 2905) != (i%2 == 0) {
				t.Errorf("frame %d to port %d", i, port)
			}
			i++
			return nil
		}); err != nil {
			t.Fatal(err)
		}
	}
	if i != 101 {
		t.Errorf("%d frames read", i)
	}
}

// The ring keeps its bounds: files of about their size, no more than so many, the newest.
func TestRing(t *testing.T) {
	dir := t.TempDir()
	write(t, Config{dir, 4096, 3, 1000}, 500)
	f := files(t, dir)
	if len(f) != 3 {
		t.Fatalf("%v", f)
	}
	for _, x := range f {
		if s, _ := os.Stat(x); s.Size() > 6000 {
			t.Errorf("%s has %d octets", x, s.Size())
		}
	}
	var last []byte
	for _, x := range f {
		if err := Read(x, func(x Frame) error { last = append(last[:0], x.Data...); return nil }); err != nil {
			t.Fatal(err)
		}
	}
	if !bytes.Equal(last, frame(499)) {
		t.Error("the newest frame is not the last")
	}
}

// A disk that is slower than the frames costs frames, not time.
func TestFullQueue(t *testing.T) {
	if w := write(t, Config{t.TempDir(), 1 << 20, 1, 10}, 100); w.Written() != 10 || w.Dropped() != 90 {
		t.Errorf("%d written, %d left out", w.Written(), w.Dropped())
	}
}

// A file cut off by a crash gives what is whole of it, and no panic, wherever it is cut.
func TestCutOff(t *testing.T) {
	dir := t.TempDir()
	write(t, Config{dir, 1 << 20, 1, 100}, 20)
	b, err := os.ReadFile(files(t, dir)[0])
	if err != nil {
		t.Fatal(err)
	}
	cut := filepath.Join(dir, "cut")
	most := 0
	for n := 0; n < len(b); n += 7 {
		if err := os.WriteFile(cut, b[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		k := 0
		Read(cut, func(x Frame) error { k++; return nil })
		if k < most {
			t.Fatalf("%d octets give %d frames, fewer ones %d", n, k, most)
		}
		most = k
	}
	if most < 18 {
		t.Errorf("%d frames of all but the last octets", most)
	}
}

func TestBadConfig(t *testing.T) {
	if _, err := New(Config{t.TempDir(), 10, 1, 1}); err == nil {
		t.Error("a file of 10 octets passes")
	}
	file := filepath.Join(t.TempDir(), "x")
	os.WriteFile(file, nil, 0o600)
	if _, err := New(Config{filepath.Join(file, "y"), 1 << 20, 1, 1}); err == nil {
		t.Error("a directory below a file passes")
	}
}
