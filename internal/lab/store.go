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

// Row holds the values of all measures of one run.
type Row struct {
	Levels []string  `json:"levels"`
	Seed   uint64    `json:"seed"`
	Values []float64 `json:"values"`
}

// Results holds all rows of a results file, in an order that depends only on the experiment.
type Results struct {
	header
	Rows []Row
}

// encodeLine returns a line of a results file: the CRC-32 of its JSON in hexadecimal, a space, and the JSON. The checksum
// reveals a line that was truncated or changed.
func encodeLine(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	return fmt.Appendf(nil, "%08x %s\n", crc32.ChecksumIEEE(b), b), nil
}

// decodeLine decodes a line that encodeLine encoded, without its line feed. It returns an error if the checksum is
// missing or differs.
func decodeLine(b []byte, v any) error {
	var checksum uint32
	if len(b) < 10 || b[8] != ' ' {
		return errors.New("no checksum")
	}
	if _, err := fmt.Sscanf(string(b[:8]), "%08x", &checksum); err != nil {
		return errors.New("no checksum")
	}
	if crc32.ChecksumIEEE(b[9:]) != checksum {
		return errors.New("checksum mismatch")
	}
	return json.Unmarshal(b[9:], v)
}

// errTruncated reports a last line that was not written completely.
var errTruncated = errors.New("the last line is truncated")

// readResults reads results. It also returns the length in bytes of the valid lines at the start. If only the last line
// is invalid, the error is errTruncated. The name of the file appears in errors.
func readResults(name string, in io.Reader) (r *Results, validLength int64, err error) {
	r = new(Results)
	reader := bufio.NewReaderSize(in, 1<<16)
	for lineNumber := 1; ; lineNumber++ {
		text, readErr := reader.ReadBytes('\n')
		if len(text) == 0 && readErr == io.EOF {
			return r, validLength, nil
		}
		if readErr != nil && readErr != io.EOF {
			return r, validLength, readErr
		}
		var lineErr error
		if lineNumber == 1 {
			lineErr = decodeLine(bytes.TrimSuffix(text, []byte("\n")), &r.header)
		} else {
			var row Row
			if lineErr = decodeLine(bytes.TrimSuffix(text, []byte("\n")), &row); lineErr == nil && len(row.Values) != len(r.Measures) {
				lineErr = fmt.Errorf("got %d values for %d measures", len(row.Values), len(r.Measures))
			}
			if lineErr == nil && readErr == nil {
				r.Rows = append(r.Rows, row)
			}
		}
		_, peekErr := reader.Peek(1)
		switch {
		case readErr == io.EOF, lineErr != nil && peekErr == io.EOF:
			return r, validLength, errTruncated
		case lineErr != nil:
			return r, validLength, fmt.Errorf("%s:%d: %w: the file was changed; move it away to start again", name, lineNumber, lineErr)
		}
		validLength += int64(len(text))
	}
}

// LoadResults reads a results file. It ignores a truncated last line, because a run may be writing the file.
func LoadResults(path string) (*Results, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r, _, err := readResults(path, f)
	if err != nil && !errors.Is(err, errTruncated) {
		return nil, err
	}
	if r.Experiment == "" {
		return nil, fmt.Errorf("%s: contains no results", path)
	}
	return r, nil
}

// store appends rows to a results file.
type store struct {
	file      *os.File
	existing  *Results // the contents when the file was opened, or only the header of a new file
	truncated bool     // an incomplete last line was removed
}

// openStore opens or creates the results file of an experiment and locks it: only one process at a time may write it.
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

// open locks the file, reads its rows, removes a truncated last line and checks that the file belongs to the experiment.
// It writes the header to a new file.
func (s *store) open(path string, e *Experiment) error {
	if err := syscall.Flock(int(s.file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return fmt.Errorf("%s: another run is writing this file: %w", path, err)
	}
	r, validLength, err := readResults(path, s.file)
	if err != nil && !errors.Is(err, errTruncated) {
		return err
	}
	if s.truncated = err != nil; s.truncated {
		if err := s.file.Truncate(validLength); err != nil {
			return err
		}
	}
	if _, err := s.file.Seek(validLength, io.SeekStart); err != nil {
		return err
	}
	s.existing = r
	if validLength > 0 && r.Hash != e.Hash {
		return fmt.Errorf("%s: contains results of another experiment, or of this one before it was changed (%q, %s; now %q, %s): use another file with --out",
			path, r.Experiment, r.Hash, e.Name, e.Hash)
	}
	if validLength > 0 {
		return nil
	}
	h := header{Experiment: e.Name, Hash: e.Hash, Measures: Measures}
	for _, f := range e.Factors {
		h.Factors = append(h.Factors, f.Name)
	}
	s.existing = &Results{header: h}
	return s.write(h)
}

// write appends a line.
func (s *store) write(v any) error {
	b, err := encodeLine(v)
	if err == nil {
		_, err = s.file.Write(b)
	}
	return err
}

// close syncs the file to the disk and closes it.
func (s *store) close() error { return errors.Join(s.file.Sync(), s.file.Close()) }
