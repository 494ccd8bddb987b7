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
		return r.unexpectedKind("an object is meant")
	}
	err := r.readFields(func(key string) error {
		switch key {
		case "applications":
			return r.readElements(r.readApplications)
		case "application":
			return r.readElements(r.readApplication)
		}
		return r.skip()
	})
	if err != nil {
		return err
	}
	if _, err := r.decoder.ReadToken(); !errors.Is(err, io.EOF) {
		return errTrailingData
	}
	if !p.foundRoot {
		return errNoApplications
	}
	return nil
}

// jsonReader reads a response in JSON.
type jsonReader struct {
	*parser
	in          *boundedReader
	decoder     *jsontext.Decoder
	valueBuffer []byte // buffer of value
	keyBuffer   []byte // buffer of fields
}

// unexpectedKind returns the error for a value of the wrong kind, or why none can be read.
func (r *jsonReader) unexpectedKind(meant string) error {
	kind := r.decoder.PeekKind()
	if kind == jsontext.KindInvalid || kind == '}' || kind == ']' {
		if _, err := r.decoder.ReadToken(); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s, not %v", meant, kind)
}

func (r *jsonReader) readToken() (jsontext.Token, error) {
	token, err := r.decoder.ReadToken()
	r.in.resetTokenBytes()
	return token, err
}

// readRawValue reads a value that is not nested.
func (r *jsonReader) readRawValue() (jsontext.Value, error) {
	raw, err := r.decoder.ReadValue()
	r.in.resetTokenBytes()
	return raw, err
}

// readElements calls readElement for each element of a list, or for the one object in its place.
// Null and an empty text stand for no element.
func (r *jsonReader) readElements(readElement func() error) error {
	switch r.decoder.PeekKind() {
	case '{':
		return readElement()
	case '[':
		return r.readArray(readElement)
	case 'n', '"':
		value, err := r.readValue()
		if err == nil && len(value) > 0 {
			err = fmt.Errorf("%.40q: an object or a list is meant", value)
		}
		return err
	default:
		return r.unexpectedKind("an object or a list is meant")
	}
}

// readArray calls readElement for each object of a readArray.
func (r *jsonReader) readArray(readElement func() error) error {
	if _, err := r.readToken(); err != nil {
		return err
	}
	for kind := r.decoder.PeekKind(); kind != ']'; kind = r.decoder.PeekKind() {
		if kind != '{' {
			return r.unexpectedKind("an object is meant")
		}
		if err := readElement(); err != nil {
			return err
		}
	}
	_, err := r.readToken()
	return err
}

// readFields reads an object and calls readField for the value of each key.
func (r *jsonReader) readFields(readField func(key string) error) error {
	if _, err := r.readToken(); err != nil {
		return err
	}
	if r.decoder.StackDepth() > maxDepth {
		return errTooDeep
	}
	for r.decoder.PeekKind() == '"' {
		key, err := r.readFieldKey()
		if err != nil {
			return err
		}
		if err := readField(key); err != nil {
			return fmt.Errorf("%.40s: %w", key, err)
		}
	}
	_, err := r.readToken()
	return err
}

func (r *jsonReader) readFieldKey() (string, error) {
	raw, err := r.decoder.ReadValue()
	if err != nil {
		return "", err
	}
	r.in.resetTokenBytes()
	r.keyBuffer, err = jsontext.AppendUnquote(r.keyBuffer[:0], raw)
	if err != nil && len(r.keyBuffer) == 0 {
		return "", err
	}
	return r.intern(r.keyBuffer), nil
}

// skip reads a value token by token and drops it.
func (r *jsonReader) skip() error {
	for depth := r.decoder.StackDepth(); ; {
		if _, err := r.readToken(); err != nil {
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

// readValue reads a text, number, boolean or null and returns it as a text, which is valid until the
// next call. Of an object it returns the text under $, of a list none.
func (r *jsonReader) readValue() ([]byte, error) {
	switch r.decoder.PeekKind() {
	case '[':
		return nil, r.skip()
	case '{':
		return r.readObjectText()
	default:
	}
	raw, err := r.readRawValue()
	switch {
	case err != nil:
		return nil, err
	case raw.Kind() == 'n':
		return nil, nil
	case raw.Kind() != '"':
		return raw, nil
	}
	r.valueBuffer, err = jsontext.AppendUnquote(r.valueBuffer[:0], raw)
	if len(r.valueBuffer) > 0 {
		return r.valueBuffer, nil // bytes that are not UTF-8 were replaced
	}
	return r.valueBuffer, err
}

// readObjectText reads an object and returns the text under $.
func (r *jsonReader) readObjectText() ([]byte, error) {
	var text []byte
	err := r.readFields(func(key string) error {
		value, err := r.readValue()
		if key == "$" {
			text = append(text, value...)
		}
		return err
	})
	return text, err
}

func (r *jsonReader) readApplications() error {
	r.foundRoot = true
	return r.readFields(func(key string) error {
		switch key {
		case "versions__delta":
			value, err := r.readValue()
			r.applications.Version = string(value)
			return err
		case "apps__hashcode":
			value, err := r.readValue()
			r.applications.Hash = string(value)
			return err
		case "application":
			return r.readElements(r.readApplication)
		}
		return r.skip()
	})
}

func (r *jsonReader) readApplication() error {
	r.foundRoot = true
	name, first := "", len(r.applications.Instances)
	err := r.readFields(func(key string) error {
		switch key {
		case "name":
			value, err := r.readValue()
			name = string(value)
			return err
		case "instance":
			return r.readElements(r.readInstance)
		}
		return r.skip()
	})
	r.setMissingAppNames(first, name)
	return err
}

func (r *jsonReader) readInstance() error {
	var instance Instance
	err := r.readFields(func(key string) (err error) {
		switch key {
		case "port":
			instance.Port, err = r.readPort()
		case "securePort":
			instance.SecurePort, err = r.readPort()
		case "metadata":
			err = r.readOptionalObject(func(key string) error { return r.readMetadata(&instance, key) })
		case "leaseInfo":
			err = r.readOptionalObject(func(key string) error { return r.readLeaseField(&instance, key) })
		default:
			var value []byte
			if value, err = r.readValue(); err == nil {
				r.setField(&instance, key, value)
			}
		}
		return err
	})
	if err != nil {
		return err
	}
	return r.addInstance(&instance)
}

// readOptionalObject reads an object, or a value of another kind, such as null or "", where there is
// none.
func (r *jsonReader) readOptionalObject(readField func(key string) error) error {
	if r.decoder.PeekKind() != '{' {
		return r.skip()
	}
	return r.readFields(readField)
}

func (r *jsonReader) readMetadata(instance *Instance, key string) error {
	value, err := r.readValue()
	r.setMetadata(instance, key, value)
	return err
}

func (r *jsonReader) readLeaseField(instance *Instance, key string) error {
	value, err := r.readValue()
	if key == "serviceUpTimestamp" {
		instance.ServiceUpTime = parseNumber(value)
	}
	return err
}

// readPort reads {"$": 8080, "@enabled": "true"}, each value as a text or not, or a number alone.
func (r *jsonReader) readPort() (int, error) {
	if r.decoder.PeekKind() != '{' {
		value, err := r.readValue()
		return parsePort(value, ""), err
	}
	var digits []byte
	enabled := ""
	err := r.readFields(func(key string) error {
		value, err := r.readValue()
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
