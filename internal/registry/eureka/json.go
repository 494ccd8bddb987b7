package eureka

import (
	"errors"
	"fmt"
	"io"

	"github.com/go-json-experiment/json/jsontext"
)

// parseJSON reads {"applications": …}, or {"application": …} for one app. In place of a list its
// only element may stand by itself.
func (p *parser) parseJSON(in *boundedReader) error {
	r := &jsonReader{
		parser:  p,
		in:      in,
		decoder: jsontext.NewDecoder(in, jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true)),
	}
	if r.decoder.PeekKind() != '{' {
		return r.unexpected("an object is meant")
	}
	err := r.fields(func(key string) error {
		switch key {
		case "applications":
			return r.elements(r.readApplications)
		case "application":
			return r.elements(r.readApplication)
		}
		return r.skip()
	})
	if err != nil {
		return err
	}
	if _, err := r.decoder.ReadToken(); !errors.Is(err, io.EOF) {
		return errTrailing
	}
	if !p.foundRoot {
		return errRoot
	}
	return nil
}

// jsonReader reads a response in JSON.
type jsonReader struct {
	*parser
	in      *boundedReader
	decoder *jsontext.Decoder
	text    []byte // buffer of value
	key     []byte // buffer of fields
}

// unexpected returns the error for a value of the wrong kind, or why none can be read.
func (r *jsonReader) unexpected(meant string) error {
	kind := r.decoder.PeekKind()
	if kind == jsontext.KindInvalid || kind == '}' || kind == ']' {
		if _, err := r.decoder.ReadToken(); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s, not %v", meant, kind)
}

func (r *jsonReader) token() (jsontext.Token, error) {
	token, err := r.decoder.ReadToken()
	r.in.endToken()
	return token, err
}

// rawValue reads a value that is not nested.
func (r *jsonReader) rawValue() (jsontext.Value, error) {
	raw, err := r.decoder.ReadValue()
	r.in.endToken()
	return raw, err
}

// elements calls readElement for each element of a list, or for the one object in its place.
// Null and an empty text stand for no element.
func (r *jsonReader) elements(readElement func() error) error {
	switch r.decoder.PeekKind() {
	case '{':
		return readElement()
	case '[':
		return r.list(readElement)
	case 'n', '"':
		value, err := r.value()
		if err == nil && len(value) > 0 {
			err = fmt.Errorf("%.40q: an object or a list is meant", value)
		}
		return err
	default:
		return r.unexpected("an object or a list is meant")
	}
}

// list calls readElement for each object of a list.
func (r *jsonReader) list(readElement func() error) error {
	if _, err := r.token(); err != nil {
		return err
	}
	for kind := r.decoder.PeekKind(); kind != ']'; kind = r.decoder.PeekKind() {
		if kind != '{' {
			return r.unexpected("an object is meant")
		}
		if err := readElement(); err != nil {
			return err
		}
	}
	_, err := r.token()
	return err
}

// fields reads an object and calls readField for the value of each key.
func (r *jsonReader) fields(readField func(key string) error) error {
	if _, err := r.token(); err != nil {
		return err
	}
	if r.decoder.StackDepth() > maxDepth {
		return errTooDeep
	}
	for r.decoder.PeekKind() == '"' {
		key, err := r.fieldKey()
		if err != nil {
			return err
		}
		if err := readField(key); err != nil {
			return fmt.Errorf("%.40s: %w", key, err)
		}
	}
	_, err := r.token()
	return err
}

func (r *jsonReader) fieldKey() (string, error) {
	raw, err := r.decoder.ReadValue()
	if err != nil {
		return "", err
	}
	r.in.endToken()
	r.key, err = jsontext.AppendUnquote(r.key[:0], raw)
	if err != nil && len(r.key) == 0 {
		return "", err
	}
	return r.intern(r.key), nil
}

// skip reads a value token by token and drops it.
func (r *jsonReader) skip() error {
	for depth := r.decoder.StackDepth(); ; {
		if _, err := r.token(); err != nil {
			return err
		}
		if r.decoder.StackDepth() > maxDepth {
			return errTooDeep
		}
		if r.decoder.StackDepth() <= depth {
			return nil
		}
	}
}

// value reads a text, number, boolean or null and returns it as a text, which is valid until the
// next call. Of an object it returns the text under $, of a list none.
func (r *jsonReader) value() ([]byte, error) {
	switch r.decoder.PeekKind() {
	case '[':
		return nil, r.skip()
	case '{':
		return r.objectText()
	default:
	}
	raw, err := r.rawValue()
	switch {
	case err != nil:
		return nil, err
	case raw.Kind() == 'n':
		return nil, nil
	case raw.Kind() != '"':
		return raw, nil
	}
	r.text, err = jsontext.AppendUnquote(r.text[:0], raw)
	if len(r.text) > 0 {
		return r.text, nil // bytes that are not UTF-8 were replaced
	}
	return r.text, err
}

// objectText reads an object and returns the text under $.
func (r *jsonReader) objectText() ([]byte, error) {
	var text []byte
	err := r.fields(func(key string) error {
		value, err := r.value()
		if key == "$" {
			text = append(text, value...)
		}
		return err
	})
	return text, err
}

func (r *jsonReader) readApplications() error {
	r.foundRoot = true
	return r.fields(func(key string) error {
		switch key {
		case "versions__delta":
			value, err := r.value()
			r.applications.Version = string(value)
			return err
		case "apps__hashcode":
			value, err := r.value()
			r.applications.Hash = string(value)
			return err
		case "application":
			return r.elements(r.readApplication)
		}
		return r.skip()
	})
}

func (r *jsonReader) readApplication() error {
	r.foundRoot = true
	name, first := "", len(r.applications.Instances)
	err := r.fields(func(key string) error {
		switch key {
		case "name":
			value, err := r.value()
			name = string(value)
			return err
		case "instance":
			return r.elements(r.readInstance)
		}
		return r.skip()
	})
	r.setMissingApp(first, name)
	return err
}

func (r *jsonReader) readInstance() error {
	var instance Instance
	err := r.fields(func(key string) (err error) {
		switch key {
		case "port":
			instance.Port, err = r.port()
		case "securePort":
			instance.SecurePort, err = r.port()
		case "metadata":
			err = r.objectOrNone(func(key string) error { return r.readMetadata(&instance, key) })
		case "leaseInfo":
			err = r.objectOrNone(func(key string) error { return r.readLeaseField(&instance, key) })
		default:
			var value []byte
			if value, err = r.value(); err == nil {
				r.setField(&instance, key, value)
			}
		}
		return err
	})
	if err != nil {
		return err
	}
	return r.add(&instance)
}

// objectOrNone reads an object, or a value of another kind, such as null or "", where there is
// none.
func (r *jsonReader) objectOrNone(readField func(key string) error) error {
	if r.decoder.PeekKind() != '{' {
		return r.skip()
	}
	return r.fields(readField)
}

func (r *jsonReader) readMetadata(instance *Instance, key string) error {
	value, err := r.value()
	r.setMetadata(instance, key, value)
	return err
}

func (r *jsonReader) readLeaseField(instance *Instance, key string) error {
	value, err := r.value()
	if key == "serviceUpTimestamp" {
		instance.ServiceUp = parseNumber(value)
	}
	return err
}

// port reads {"$": 8080, "@enabled": "true"}, each value as a text or not, or a number alone.
func (r *jsonReader) port() (int, error) {
	if r.decoder.PeekKind() != '{' {
		value, err := r.value()
		return parsePort(value, ""), err
	}
	var digits []byte
	enabled := ""
	err := r.fields(func(key string) error {
		value, err := r.value()
		switch key {
		case "$":
			digits = append(digits, value...)
		case "@enabled":
			enabled = r.intern(value)
		}
		return err
	})
	return parsePort(digits, enabled), err
}
