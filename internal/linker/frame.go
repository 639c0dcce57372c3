package linker

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	frameHeaderBytes = 4
	// maxRetainedBytes is the capacity above which a message buffer is freed, so
	// that connections do not retain the memory of large messages. It is also the
	// size of the chunks in which a message is read.
	maxRetainedBytes = 1 << 16
)

var errMessage = errors.New("malformed message")

// framer reads and writes messages on a connection. One goroutine may read while
// another writes.
type framer struct {
	conn      net.Conn
	src       io.Reader
	ioTimeout time.Duration
	maxBytes  int
	budget    *budget

	in  bytes.Buffer
	dec *gob.Decoder
	out bytes.Buffer
	enc *gob.Encoder

	mu           sync.Mutex
	readDeadline time.Time
}

func newFramer(conn net.Conn, src io.Reader, co Config, bu *budget) *framer {
	fr := &framer{
		conn: conn, src: src, ioTimeout: co.IOTimeout, maxBytes: co.MaxMessageBytes, budget: bu,
	}
	fr.dec = gob.NewDecoder(&fr.in)
	fr.enc = gob.NewEncoder(&fr.out)
	return fr
}

// extendReadDeadline extends the deadline for the start of the next message. It
// never shortens it, because several calls may be waiting.
func (fr *framer) extendReadDeadline(deadline time.Time) error {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	if !deadline.After(fr.readDeadline) {
		return nil
	}
	fr.readDeadline = deadline
	return fr.conn.SetReadDeadline(deadline)
}

// setReadDeadline sets the deadline for the start of the next message.
func (fr *framer) setReadDeadline(deadline time.Time) error {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.readDeadline = deadline
	return fr.conn.SetReadDeadline(deadline)
}

// restoreReadDeadline restores the deadline that extendReadDeadline or
// setReadDeadline has set.
func (fr *framer) restoreReadDeadline() error {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	return fr.conn.SetReadDeadline(fr.readDeadline)
}

// read reads the next message into the decoder's buffer and returns its size.
func (fr *framer) read() (int, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(fr.src, header[:]); err != nil {
		return 0, err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size == 0 || size > fr.maxBytes {
		return 0, fmt.Errorf("%w: length %d, limit %d", errMessage, size, fr.maxBytes)
	}
	if err := fr.conn.SetReadDeadline(time.Now().Add(fr.ioTimeout)); err != nil {
		return 0, err
	}
	if fr.in.Cap() > maxRetainedBytes {
		fr.in = bytes.Buffer{}
	}
	fr.in.Reset()
	if err := fr.readBody(size); err != nil {
		return 0, err
	}
	if err := fr.restoreReadDeadline(); err != nil {
		return 0, err
	}
	return size, checkGob(fr.in.Bytes())
}

// readBody reads the message in chunks, each of which counts against the budget
// while the message is read. A peer therefore cannot use up the budget by
// declaring a large message that it does not send.
func (fr *framer) readBody(size int) error {
	reserved := 0
	defer func() { fr.budget.release(reserved) }()
	for remaining := size; remaining > 0; {
		chunk := min(remaining, maxRetainedBytes)
		if !fr.budget.reserve(chunk) {
			return fmt.Errorf("message of %d bytes exceeds the budget of inbound messages", size)
		}
		reserved += chunk
		if _, err := io.CopyN(&fr.in, fr.src, int64(chunk)); err != nil {
			return err
		}
		remaining -= chunk
	}
	return nil
}

// checkGob checks that the lengths of the gob messages match the data. The
// decoder would otherwise allocate memory for any length that a peer declares.
func checkGob(data []byte) error {
	for len(data) > 0 {
		length, used := gobUint(data)
		if used == 0 || length == 0 || length > uint64(len(data)-used) {
			return fmt.Errorf("%w: gob length beyond the end", errMessage)
		}
		data = data[used+int(length):]
	}
	return nil
}

// gobUint decodes an unsigned integer in gob's format. It returns the value and
// the number of bytes used, which is zero if the integer is malformed.
func gobUint(data []byte) (uint64, int) {
	if data[0] < 0x80 {
		return uint64(data[0]), 1
	}
	count := -int(int8(data[0]))
	if count > 8 || len(data) <= count {
		return 0, 0
	}
	var value uint64
	for _, bb := range data[1 : 1+count] {
		value = value<<8 | uint64(bb)
	}
	return value, 1 + count
}

// write sends the values as one message. It is bounded by the deadline, if it is
// not zero, and by the I/O timeout.
func (fr *framer) write(deadline time.Time, values ...any) error {
	if fr.out.Cap() > maxRetainedBytes {
		fr.out = bytes.Buffer{}
	}
	fr.out.Reset()
	fr.out.Write(make([]byte, frameHeaderBytes))
	for _, value := range values {
		if err := fr.enc.Encode(value); err != nil {
			return fmt.Errorf("encode message: %w", err)
		}
	}
	data := fr.out.Bytes()
	size := len(data) - frameHeaderBytes
	if size > fr.maxBytes {
		return fmt.Errorf("message has %d bytes; the limit is %d", size, fr.maxBytes)
	}
	binary.BigEndian.PutUint32(data, uint32(size))
	if latest := time.Now().Add(fr.ioTimeout); deadline.IsZero() || deadline.After(latest) {
		deadline = latest
	}
	if err := fr.conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	_, err := fr.conn.Write(data)
	return err
}

// budget bounds the bytes of messages being read. A nil budget is unlimited.
type budget struct {
	mu        sync.Mutex
	available int
}

func (bu *budget) reserve(size int) bool {
	if bu == nil {
		return true
	}
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if size > bu.available {
		return false
	}
	bu.available -= size
	return true
}

func (bu *budget) release(size int) {
	if bu == nil {
		return
	}
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.available += size
}
