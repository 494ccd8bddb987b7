// Package golden compares the results of a test with recorded ones.
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

var update = flag.Bool("update", false, "record the golden files again from the current results")

// Digest is a hash of a sequence of records, each of which has a kind. The zero value is invalid; use
// NewDigest. Copies of a Digest share their state.
type Digest struct{ hasher hash.Hash64 }

// NewDigest returns an empty Digest.
func NewDigest() Digest { return Digest{fnv.New64a()} }

// AddNumbers adds a record: its kind, followed by each number as 8 bytes, little-endian.
func (d Digest) AddNumbers(kind byte, numbers ...int64) {
	var buffer [8]byte
	d.hasher.Write([]byte{kind}) // Write of a hash never returns an error
	for _, n := range numbers {
		binary.LittleEndian.PutUint64(buffer[:], uint64(n))
		d.hasher.Write(buffer[:])
	}
}

// AddFloat adds a record with all bits of a floating-point number.
func (d Digest) AddFloat(kind byte, f float64) { d.AddNumbers(kind, int64(math.Float64bits(f))) }

// AddText adds a record with the length of a text in bytes, followed by the text.
func (d Digest) AddText(kind byte, text string) {
	d.AddNumbers(kind, int64(len(text)))
	d.hasher.Write([]byte(text))
}

// String returns the digest of the records so far as 16 hexadecimal digits.
func (d Digest) String() string { return fmt.Sprintf("%016x", d.hasher.Sum64()) }

// Check compares a text line by line with testdata/NAME.golden of the package under test and
// reports each line that differs. With the flag -update it records the text there first. The
// results are recorded on amd64. Compilers for other architectures may fuse multiplication and
// addition, which changes results, so there Check skips the test.
func Check(t *testing.T, name, got string) {
	t.Helper()
	if runtime.GOARCH != "amd64" {
		t.Skip("the golden files are recorded on amd64")
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
	wantLines, gotLines := strings.Split(string(recorded), "\n"), strings.Split(got, "\n")
	for i := range max(len(wantLines), len(gotLines)) {
		wantLine, gotLine := "(nothing)", "(nothing)"
		if i < len(wantLines) {
			wantLine = wantLines[i]
		}
		if i < len(gotLines) {
			gotLine = gotLines[i]
		}
		if wantLine != gotLine {
			t.Errorf("%s:%d: got %s, want %s", path, i+1, gotLine, wantLine)
		}
	}
}
