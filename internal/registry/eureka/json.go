package eureka

import (
	"errors"
	"fmt"
	"io"

	"github.com/go-json-experiment/json/jsontext"
)

// json reads {"applications": …}, or {"application": …} for one app. Where a
// list is meant its only element may stand in its place.
func (p *parser) json(in *tokenBound) error {
	r := &jsonReader{parser: p, in: in, d: jsontext.NewDecoder(in, jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))}
	if r.d.PeekKind() != '{' {
		return r.wrong("an object is meant")
	}
	err := r.fields(func(key string) error {
		switch key {
		case "applications":
			return r.each(r.applications)
		case "application":
			return r.each(r.application)
		}
		return r.skip()
	})
	if err != nil {
		return err
	}
	if _, err := r.d.ReadToken(); err != io.EOF {
		return errors.New("something comes behind it")
	}
	if !p.found {
		return errRoot
	}
	return nil
}

type jsonReader struct {
	*parser
	in  *tokenBound
	d   *jsontext.Decoder
	buf []byte
	key []byte
}

// wrong says what is meant where something else stands, or why nothing can be read.
func (r *jsonReader) wrong(meant string) error {
	kind := r.d.PeekKind()
	if kind == 0 || kind == '}' || kind == ']' {
		if _, err := r.d.ReadToken(); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s, not %v", meant, kind)
}

// token reads one.
func (r *jsonReader) token() (jsontext.Token, error) {
	t, err := r.d.ReadToken()
	r.in.token()
	return t, err
}

// each reads a list by its elements, or the one element that stands in its
// place. Null and an empty text stand for no element.
func (r *jsonReader) each(one func() error) error {
	switch r.d.PeekKind() {
	case '{':
		return one()
	case '[':
		if _, err := r.token(); err != nil {
			return err
		}
		for kind := r.d.PeekKind(); kind != ']'; kind = r.d.PeekKind() {
			if kind != '{' {
				return r.wrong("an object is meant")
			}
			if err := one(); err != nil {
				return err
			}
		}
		_, err := r.token()
		return err
	case 'n', '"':
		v, err := r.value()
		if err == nil && len(v) > 0 {
			err = fmt.Errorf("%.40q: an object or a list is meant", v)
		}
		return err
	}
	return r.wrong("an object or a list is meant")
}

// fields reads an object.
func (r *jsonReader) fields(field func(key string) error) error {
	if _, err := r.token(); err != nil {
		return err
	}
	if r.d.StackDepth() > maxDepth {
		return fmt.Errorf("more than %d levels in one another", maxDepth)
	}
	for r.d.PeekKind() == '"' {
		raw, err := r.d.ReadValue()
		if err != nil {
			return err
		}
		r.in.token()
		if r.key, err = jsontext.AppendUnquote(r.key[:0], raw); err != nil && len(r.key) == 0 {
			return err
		}
		key := r.text(r.key)
		if err := field(key); err != nil {
			return fmt.Errorf("%.40s: %w", key, err)
		}
	}
	_, err := r.token()
	return err
}

// skip passes over a value, a token at a time.
func (r *jsonReader) skip() error {
	for depth := r.d.StackDepth(); ; {
		if _, err := r.token(); err != nil {
			return err
		}
		if r.d.StackDepth() > maxDepth {
			return fmt.Errorf("more than %d levels in one another", maxDepth)
		}
		if r.d.StackDepth() <= depth {
			return nil
		}
	}
}

// value reads a text, a number, a boolean or null as a text, which is good until
// the next. Of an object it takes the text under $, of a list nothing.
func (r *jsonReader) value() ([]byte, error) {
	switch r.d.PeekKind() {
	case '[':
		return nil, r.skip()
	case '{':
		var own []byte
		err := r.fields(func(key string) error {
			v, err := r.value()
			if key == "$" {
				own = append(own, v...)
			}
			return err
		})
		return own, err
	}
	raw, err := r.d.ReadValue()
	r.in.token()
	switch {
	case err != nil:
		return nil, err
	case raw.Kind() == 'n':
		return nil, nil
	case raw.Kind() != '"':
		return raw, nil
	}
	r.buf, err = jsontext.AppendUnquote(r.buf[:0], raw)
	if err != nil && len(r.buf) > 0 {
		err = nil // bytes that are no UTF-8 were replaced
	}
	return r.buf, err
}

func (r *jsonReader) applications() error {
	r.found = true
	return r.fields(func(key string) error {
		switch key {
		case "versions__delta":
			v, err := r.value()
			r.a.Version = string(v)
			return err
		case "apps__hashcode":
			v, err := r.value()
			r.a.Hash = string(v)
			return err
		case "application":
			return r.each(r.application)
		}
		return r.skip()
	})
}

func (r *jsonReader) application() error {
	r.found = true
	name, first := "", len(r.a.Instances)
	err := r.fields(func(key string) error {
		switch key {
		case "name":
			v, err := r.value()
			name = string(v)
			return err
		case "instance":
			return r.each(r.instance)
		}
		return r.skip()
	})
	r.named(first, name)
	return err
}

func (r *jsonReader) instance() error {
	var i Instance
	err := r.fields(func(key string) error {
		var err error
		switch key {
		case "port":
			i.Port, err = r.port()
		case "securePort":
			i.SecurePort, err = r.port()
		case "metadata":
			if r.d.PeekKind() != '{' { // null or "" where there is none
				return r.skip()
			}
			err = r.fields(func(key string) error {
				v, err := r.value()
				r.metadata(&i, key, v)
				return err
			})
		case "leaseInfo":
			if r.d.PeekKind() != '{' {
				return r.skip()
			}
			err = r.fields(func(key string) error {
				v, err := r.value()
				if key == "serviceUpTimestamp" {
					i.ServiceUp = number(v)
				}
				return err
			})
		default:
			var v []byte
			if v, err = r.value(); err == nil {
				r.set(&i, key, v)
			}
		}
		return err
	})
	if err != nil {
		return err
	}
	return r.add(&i)
}

// port reads {"$": 8080, "@enabled": "true"}, its number and flag written either
// way, or a number alone.
func (r *jsonReader) port() (int, error) {
	if r.d.PeekKind() != '{' {
		v, err := r.value()
		return port(v, ""), err
	}
	var digits []byte
	enabled := ""
	err := r.fields(func(key string) error {
		v, err := r.value()
		switch key {
		case "$":
			digits = append(digits, v...)
		case "@enabled":
			enabled = r.text(v)
		}
		return err
	})
	return port(digits, enabled), err
}
