// Package delta compresses a value against an earlier one that the receiver holds, so that common parts are not sent.
// Without an earlier value, it is compressed on its own.
package delta

import (
	"math/bits"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// dictID is the zstd dictionary ID of the base value.
	dictID = 1
	// minBase is the size, in bytes, below which a base is not used.
	minBase = 64
	// minWindow and maxWindow bound the zstd window, in bytes. The window covers both values, since most of the newer one
	// occurs in the older one.
	minWindow = 64 << 10
	maxWindow = 8 << 20
)

// pooledWindow is the largest value, in bytes, that is packed with a pooled encoder.
const pooledWindow = 256 << 10

// pooledEncoders are encoders without a base. Creating one costs more than packing a small value.
var pooledEncoders = sync.Pool{New: func() any {
	w, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(pooledWindow))
	if err != nil {
		panic(err) // the options are constants
	}
	return w
}}

// Pack returns the packed value, to be unpacked with the same base. A base of less than 64 bytes is not used.
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

// Unpack returns the value that was packed against the base. It fails if the value is larger than maxSize bytes.
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

// windowSize returns the smallest power of two above the number of bytes, within the bounds of a window.
func windowSize(bytes int) int {
	return min(max(1<<bits.Len(uint(bytes)), minWindow), maxWindow)
}
