package main

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// shutdownTimeout is the time within which the program must end after SIGTERM, before the platform
// kills it.
const shutdownTimeout = 6 * time.Second

// fullPipe returns a pipe whose buffer is full, so that a write to it blocks.
func fullPipe(t *testing.T) (reader, writer *os.File) {
	t.Helper()
	var descriptors [2]int
	if err := syscall.Pipe2(descriptors[:], syscall.O_CLOEXEC|syscall.O_NONBLOCK); err != nil {
		t.Fatal(err)
	}
	block := make([]byte, 4096)
	for {
		if _, err := syscall.Write(descriptors[1], block); err != nil {
			break
		}
	}
	if _, err := syscall.Write(descriptors[1], block[:1]); err != syscall.EAGAIN {
		t.Fatalf("write to the full pipe: got error %v, want EAGAIN", err)
	}
	syscall.SetNonblock(descriptors[1], false)
	reader, writer = os.NewFile(uintptr(descriptors[0]), "r"), os.NewFile(uintptr(descriptors[1]), "w")
	t.Cleanup(func() { reader.Close() })
	return reader, writer
}

func openDevice(t *testing.T, name string, flag int) *os.File {
	t.Helper()
	file, err := os.OpenFile(name, flag, 0)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// TestLogDoesNotStopService checks that the program serves requests and ends on SIGTERM even if
// standard error cannot be written: a blocked or failed write of a log line must not stop it.
func TestLogDoesNotStopService(t *testing.T) {
	for name, open := range map[string]func(*testing.T) *os.File{
		"unread pipe": func(t *testing.T) *os.File {
			_, writer := fullPipe(t)
			return writer
		},
		"closed pipe": func(t *testing.T) *os.File {
			reader, writer := fullPipe(t)
			reader.Close()
			return writer
		},
		"no space":  func(t *testing.T) *os.File { return openDevice(t, "/dev/full", os.O_WRONLY) },
		"read only": func(t *testing.T) *os.File { return openDevice(t, os.DevNull, os.O_RDONLY) },
	} {
		t.Run(name, func(t *testing.T) { testServiceWithLog(t, open(t)) })
	}
}

// testServiceWithLog checks a program whose standard error is the given file.
func testServiceWithLog(t *testing.T, log *os.File) {
	command, address := startLogging(t, log)
	awaitService(t, address)
	for range 20 { // each SIGHUP causes a reload
		command.Process.Signal(syscall.SIGHUP)
		time.Sleep(5 * time.Millisecond)
	}
	if status, err := postRequest(address); err != nil {
		t.Fatalf("request after the reloads: got status %d, error %v; want a response", status, err)
	}
	command.Process.Signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("after SIGTERM: got %v, want exit status 0", err)
		}
	case <-time.After(shutdownTimeout):
		t.Error("after SIGTERM: got a program that still runs after 6 s, want it to end")
	}
}
