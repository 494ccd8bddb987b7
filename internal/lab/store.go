package lab

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"syscall"
)

// header is the first line of a results file.
type header struct {
	Experiment string   `json:"experiment"`
	Hash       string   `json:"hash"`
	Factors    []string `json:"factors"`
	Measures   []string `json:"measures"`
}

// Row is what one run gave.
type Row struct {
	Levels []string  `json:"levels"`
	Seed   uint64    `json:"seed"`
	Values []float64 `json:"values"`
}

// Results are all rows of a results file, in the order in which they were
// played, which the experiment alone decides.
type Results struct {
	header
	Rows []Row
}

// A line of a results file is the CRC-32 of its JSON in hexadecimal, a space,
// and the JSON: a line that was cut or changed is noticed.

func line(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	return fmt.Appendf(nil, "%08x %s\n", crc32.ChecksumIEEE(b), b), nil
}

func parse(b []byte, v any) error {
	var sum uint32
	if len(b) < 10 || b[8] != ' ' {
		return errors.New("no checksum")
	}
	if _, err := fmt.Sscanf(string(b[:8]), "%08x", &sum); err != nil {
		return errors.New("no checksum")
	}
	if crc32.ChecksumIEEE(b[9:]) != sum {
		return errors.New("the checksum does not fit")
	}
	return json.Unmarshal(b[9:], v)
}

// errCut is a last line that was not written whole.
var errCut = errors.New("the last line is cut")

// read reads results. Whole is how many bytes are good; where only the last line
// is not, the error is errCut.
func read(name string, in io.Reader) (r *Results, whole int64, err error) {
	r = new(Results)
	buf := bufio.NewReaderSize(in, 1<<16)
	for n := 1; ; n++ {
		text, end := buf.ReadBytes('\n')
		if len(text) == 0 && end == io.EOF {
			return r, whole, nil
		}
		if end != nil && end != io.EOF {
			return r, whole, end
		}
		var bad error
		if n == 1 {
			bad = parse(bytes.TrimSuffix(text, []byte("\n")), &r.header)
		} else {
			var row Row
			if bad = parse(bytes.TrimSuffix(text, []byte("\n")), &row); bad == nil && len(row.Values) != len(r.Measures) {
				bad = fmt.Errorf("%d values of %d measures", len(row.Values), len(r.Measures))
			}
			if bad == nil && end == nil {
				r.Rows = append(r.Rows, row)
			}
		}
		_, more := buf.Peek(1)
		switch {
		case end == io.EOF, bad != nil && more == io.EOF:
			return r, whole, errCut
		case bad != nil:
			return r, whole, fmt.Errorf("%s:%d: %w: the file was changed; move it away to begin anew", name, n, bad)
		}
		whole += int64(len(text))
	}
}

// LoadResults reads a results file, also one that is being written.
func LoadResults(path string) (*Results, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r, _, err := read(path, f)
	if err != nil && !errors.Is(err, errCut) {
		return nil, err
	}
	if r.Experiment == "" {
		return nil, fmt.Errorf("%s: no results are in it", path)
	}
	return r, nil
}

// store is a results file that rows are added to.
type store struct {
	file *os.File
	had  *Results
	cut  bool // a line that was not whole has been taken off
}

// openStore opens or begins the results of an experiment. One process at a time
// may hold it.
func openStore(path string, e *Experiment) (*store, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	s := &store{file: f}
	if err := s.open(path, e); err != nil {
		f.Close()
		return nil, err
	}
	return s, nil
}

func (s *store) open(path string, e *Experiment) error {
	if err := syscall.Flock(int(s.file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return fmt.Errorf("%s: another run is writing it: %w", path, err)
	}
	r, whole, err := read(path, s.file)
	if err != nil && !errors.Is(err, errCut) {
		return err
	}
	if s.cut = err != nil; s.cut {
		if err := s.file.Truncate(whole); err != nil {
			return err
		}
	}
	if _, err := s.file.Seek(whole, io.SeekStart); err != nil {
		return err
	}
	s.had = r
	if whole > 0 && r.Hash != e.Hash {
		return fmt.Errorf("%s: holds results of another experiment, or of this one before it was changed (%q, %s; now %q, %s): name another file with --out", path, r.Experiment, r.Hash, e.Name, e.Hash)
	}
	if whole > 0 {
		return nil
	}
	h := header{Experiment: e.Name, Hash: e.Hash, Measures: Measures}
	for _, f := range e.Factors {
		h.Factors = append(h.Factors, f.Name)
	}
	s.had = &Results{header: h}
	return s.write(h)
}

func (s *store) write(v any) error {
	b, err := line(v)
	if err == nil {
		_, err = s.file.Write(b)
	}
	return err
}

// close makes sure that all is on the disk.
func (s *store) close() error { return errors.Join(s.file.Sync(), s.file.Close()) }
