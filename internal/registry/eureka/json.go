package eureka

import (
	"errors"
	"fmt"
	"io"

	"github.com/go-json-experiment/json/jsontext"
)

// parseJSON reads {"applications": …}, or {"application": …} for one app. An array of one element may be
// replaced by the element itself.
func (p *parser) parseJSON(in *boundedReader) error {
	r := &jsonReader{
		parser:  p,
		in:      in,
		decoder: jsontext.NewDecoder(in, jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true)),
	}
	if r.decoder.PeekKind() != '{' {
		return r.unexpectedKind("must be an object")
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

// jsonReader reads a JSON response into its parser.
type jsonReader struct {
	*parser
	in          *boundedReader
	decoder     *jsontext.Decoder
	valueBuffer []byte // reused by readValue
	keyBuffer   []byte // reused by readFieldKey
}

// unexpectedKind returns an error with the violated rule and the kind of the next value. If no value can be
// read, unexpectedKind returns the decoder's error instead.
func (r *jsonReader) unexpectedKind(rule string) error {
	kind := r.decoder.PeekKind()
	if kind == jsontext.KindInvalid || kind == '}' || kind == ']' {
		if _, err := r.decoder.ReadToken(); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s, got %v", rule, kind)
}

func (r *jsonReader) readToken() (jsontext.Token, error) {
	token, err := r.decoder.ReadToken()
	r.in.resetTokenBytes()
	return token, err
}

// readRawValue reads the encoded form of a string, number, boolean or null.
func (r *jsonReader) readRawValue() (jsontext.Value, error) {
	raw, err := r.decoder.ReadValue()
	r.in.resetTokenBytes()
	return raw, err
}

// readElements calls readElement for each element of an array, or once for an object in place of the array.
// Null and an empty string count as an empty array.
func (r *jsonReader) readElements(readElement func() error) error {
	switch r.decoder.PeekKind() {
	case '{':
		return readElement()
	case '[':
		return r.readArray(readElement)
	case 'n', '"':
		value, err := r.readValue()
		if err == nil && len(value) > 0 {
			err = fmt.Errorf("must be an object or an array, got %.40q", value)
		}
		return err
	default:
		return r.unexpectedKind("must be an object or an array")
	}
}

// readArray reads an array and calls readElement for each element. Each element must be an object.
func (r *jsonReader) readArray(readElement func() error) error {
	if _, err := r.readToken(); err != nil {
		return err
	}
	for kind := r.decoder.PeekKind(); kind != ']'; kind = r.decoder.PeekKind() {
		if kind != '{' {
			return r.unexpectedKind("must be an object")
		}
		if err := readElement(); err != nil {
			return err
		}
	}
	_, err := r.readToken()
	return err
}

// readFields reads an object and calls readField to read the value of each key.
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

// skip reads a value token by token and discards it.
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

// readValue reads a value and returns it as text. The text is valid until the next call. The text of an
// object is the text of its key "$"; the text of an array or null is empty.
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
		return r.valueBuffer, nil // AppendUnquote has replaced bytes that are not UTF-8
	}
	return r.valueBuffer, err
}

// readObjectText reads an object and returns the text of its key "$".
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
	name, firstIndex := "", len(r.applications.Instances)
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
	r.setMissingAppNames(firstIndex, name)
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

// readOptionalObject reads an object and calls readField to read the value of each key. It skips a value of
// another kind, such as null or "", which stands for a missing object.
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

// readPort reads a port: an object {"$": 8080, "@enabled": "true"}, in which each value may be a string or not,
// or a plain number or string.
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
