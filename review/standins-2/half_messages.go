package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	halfClients = 300                    // bad clients at a time
	answerSlack = 500 * time.Millisecond // an answer that is later than this after its request's time is lost
)

// playHalfMessages has clients that begin a MessagePack-RPC message and stay, beside usual ones on the same listener.
func playHalfMessages(p *play) (broken []string, err error) {
	if text, _ := os.ReadFile("/proc/sys/net/core/somaxconn"); strings.HasPrefix(string(text), "128\n") {
		return nil, errors.New("the accept queue is too short: connections would look open that the machine has not accepted")
	}
	treat := func(string) treatment { return treatment{work: time.Duration(39+rand.IntN(31)) * time.Millisecond} }
	var list []entry
	for i := range 9 {
		n, err := startNode(p, fmt.Sprintf("s-%02d", i), loopback+":0", newHivesPod(1), treat)
		if err != nil {
			return nil, err
		}
		list = append(list, entryOf(n, 0))
	}
	discovery, err := startAgent(p, list)
	if err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	operators := filepath.Join(p.folder, "operators.toml")
	text := fmt.Sprintf("[[listener]]\nprotocol = \"msgpack-rpc\"\naddress = \"%s\"\n", address)
	if err := os.WriteFile(operators, []byte(text), 0o600); err != nil {
		return nil, err
	}
	config := hives(discovery.address, discovery.whole())
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": 512}
	s, err := p.startSidecar("n0", config, " run --operator "+operators)
	if err != nil {
		return nil, err
	}
	end := time.Now().Add(33 * time.Second)
	var running sync.WaitGroup
	if p.trouble {
		time.AfterFunc(3*time.Second, func() {
			p.record("%d clients begin a message and stay", halfClients)
			for range halfClients {
				go p.sendHalves(address, end)
			}
		})
	}
	clients := &rpcPool{address: address}
	var mu sync.Mutex
	for time.Now().Before(end) {
		running.Go(func() {
			a := newReading()
			if rand.IntN(5) == 0 {
				a = newHarvest()
			}
			p.record("sent: %s %s key %s", a.id, a.class, a.key)
			err := clients.do(a)
			p.record("answered: %s %s: %v", a.id, a.class, err)
			mu.Lock()
			defer mu.Unlock()
			if errors.Is(err, errTimeout) {
				broken = append(broken, fmt.Sprintf("%s %s was written to an open connection and got no answer in %v", a.class, a.id, a.timeout+answerSlack))
			} else if err == nil {
				p.served.Add(1)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	running.Wait()
	p.copyLog(s)
	return broken, p.checkServed(s)
}

// sendHalves is a bad client: it begins a message and stays, and does the same again when its connection is ended.
func (p *play) sendHalves(address string, end time.Time) {
	for time.Now().Before(end) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		conn.SetDeadline(end)
		conn.Write([]byte{0x94, 0x00}) // an array of four, a request
		buffer := make([]byte, 1<<10)
		for {
			if _, err := conn.Read(buffer); err != nil {
				break
			}
		}
		conn.Close()
	}
}

// rpcPool is a client that keeps its MessagePack-RPC connections, with one request at a time on each.
type rpcPool struct {
	address string
	mu      sync.Mutex
	idle    []net.Conn
}

// do sends a request and waits until an answer to it has come. If its connection ends without an answer, the request
// is sent once more on a new one.
func (p *rpcPool) do(a ask) error {
	ends := time.Now().Add(a.timeout)
	deadline := ends.Add(answerSlack)
	conn, err := p.take()
	if err == nil {
		err = p.doOn(conn, a, deadline)
	}
	if err == nil || errors.Is(err, errTimeout) {
		return err
	}
	if a.timeout = time.Until(ends); a.timeout <= 0 {
		return err
	}
	if conn, err = net.DialTimeout("tcp", p.address, time.Second); err != nil {
		return err
	}
	return p.doOn(conn, a, deadline)
}

// take returns a kept connection, or else a new one.
func (p *rpcPool) take() (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return net.DialTimeout("tcp", p.address, time.Second)
	}
	conn := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return conn, nil
}

func (p *rpcPool) doOn(conn net.Conn, a ask, deadline time.Time) error {
	conn.SetDeadline(deadline)
	if _, err := conn.Write(call(a)); err != nil {
		conn.Close()
		return err
	}
	var got []byte
	buffer := make([]byte, 4<<10)
	for !bytes.Contains(got, []byte("served "+a.id)) && !bytes.Contains(got, []byte("kind")) {
		n, err := conn.Read(buffer)
		got = append(got, buffer[:n]...)
		if err != nil {
			conn.Close()
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return errTimeout
			}
			return err
		}
	}
	p.mu.Lock()
	p.idle = append(p.idle, conn)
	p.mu.Unlock()
	return nil
}

// call returns a request as a MessagePack-RPC call with the msgid 1.
func call(a ask) []byte {
	message := []byte{0x94, 0x00, 0x01}
	message = appendText(message, "call")
	keys := byte(4)
	if a.key != "" {
		keys++
	}
	message = append(message, 0x91, 0x80|keys)
	message = appendText(appendText(message, "id"), a.id)
	message = appendText(appendText(message, "class"), a.class)
	message = appendText(appendText(message, "tenant"), a.tenant)
	if a.key != "" {
		message = appendText(appendText(message, "key"), a.key)
	}
	message = append(appendText(message, "left_ms"), 0xcb)
	return binary.BigEndian.AppendUint64(message, math.Float64bits(a.timeout.Seconds()*1000))
}

// appendText appends a MessagePack str of at most 255 bytes.
func appendText(message []byte, text string) []byte {
	return append(append(message, 0xd9, byte(len(text))), text...)
}
