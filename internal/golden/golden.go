// Package golden compares what a test has worked out with what was recorded before.
package golden

import (
	"encoding/binary"
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "record the golden files anew")

// Digest sums up a sequence of typed records. The zero value is of no use: NewDigest.
type Digest struct{ sum hash.Hash64 }

// NewDigest returns an empty Digest.
func NewDigest() Digest { return Digest{fnv.New64a()} }

// Numbers adds a record of a kind.
func (d Digest) Numbers(kind byte, numbers ...int64) {
	var buffer [8]byte
	d.sum.Write([]byte{kind}) // a hash returns no error
	for _, n := range numbers {
		binary.LittleEndian.PutUint64(buffer[:], uint64(n))
		d.sum.Write(buffer[:])
	}
}

// Float adds a number to the bit.
func (d Digest) Float(kind byte, f float64) { d.Numbers(kind, int64(math.Float64bits(f))) }

// Text adds a text and its length.
func (d Digest) Text(kind byte, text string) {
	d.Numbers(kind, int64(len(text)))
	d.sum.Write([]byte(text))
}

// String returns the digest in 16 hexadecimal digits.
func (d Digest) String() string { return fmt.Sprintf("%016x", d.sum.Sum64()) }

// Check compares a text line by line with testdata/NAME.golden of the package under
// test, or records it there if the test runs with -update. Figures are recorded on amd64;
// other compilers may fuse multiplication and addition, so that the test is passed over there.
func Check(t *testing.T, name, got string) {
	t.Helper()
	if runtime.GOARCH != "amd64" {
		t.Skip("recorded on amd64")
	}
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	recorded, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want, lines := strings.Split(string(recorded), "\n"), strings.Split(got, "\n")
	for i := range max(len(want), len(lines)) {
		w, g := "(nothing)", "(nothing)"
		if i < len(want) {
			w = want[i]
		}
		if i < len(lines) {
			g = lines[i]
		}
		if w != g {
			t.Errorf("%s:%d: got %s, recorded is %s", path, i+1, g, w)
		}
	}
}
