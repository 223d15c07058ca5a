// Package delta makes a value small for a receiver that holds an earlier one: what both have in common is
// named and not sent. A receiver that holds none gets the value compressed.
package delta

import (
	"math/bits"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// dictID marks a value that was packed against another one.
	dictID = 1
	// minBase is the smallest value, in bytes, that is worth packing against.
	minBase = 64
	// minWindow and mostWindow bound, in bytes, how far back equal parts are found. The window holds
	// both values, since most of the newer one stands somewhere in the older.
	minWindow = 64 << 10
	maxWindow = 8 << 20
)

// pooledWindow is the largest value, in bytes, for which an encoder without a base is kept and used again.
const pooledWindow = 256 << 10

// pooledEncoders are encoders without a base: making one costs more than a small value takes.
var pooledEncoders = sync.Pool{New: func() any {
	w, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(pooledWindow))
	if err != nil {
		panic(err) // the options are constants
	}
	return w
}}

// Pack returns the value, to be unpacked with the same base. A base of less than 64 bytes is not used.
func Pack(base, value []byte) (packed []byte, err error) {
	defer func() { err = errors.Wrap(err, "pack value") }()
	if len(base) < minBase && len(value) <= pooledWindow {
		w := pooledEncoders.Get().(*zstd.Encoder)
		defer pooledEncoders.Put(w)
		return w.EncodeAll(value, nil), nil
	}
	opts := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowSize(len(base) + len(value))),
	}
	if len(base) >= minBase {
		opts = append(opts, zstd.WithEncoderDictRaw(dictID, base))
	}
	w, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, err
	}
	packed = w.EncodeAll(value, nil)
	return packed, w.Close()
}

// Unpack returns the value of at most so many bytes that was packed against the base.
func Unpack(base, packed []byte, maxSize int) (value []byte, err error) {
	defer func() { err = errors.Wrap(err, "unpack value") }()
	opts := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(maxSize)),
		zstd.WithDecoderMaxWindow(maxWindow),
	}
	if len(base) >= minBase {
		opts = append(opts, zstd.WithDecoderDictRaw(dictID, base))
	}
	r, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return r.DecodeAll(packed, nil)
}

// windowSize returns the power of two that holds so many bytes, within bounds.
func windowSize(bytes int) int {
	return min(max(1<<bits.Len(uint(bytes)), minWindow), maxWindow)
}
