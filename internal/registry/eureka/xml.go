package eureka

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
)

var (
	errTextOutside  = errors.New("something stands outside of its element")
	errTrailing     = errors.New("something follows it")
	errDocumentType = errors.New("a document type is not accepted")
	errTooDeep      = fmt.Errorf("more than %d nested levels", maxDepth)
)

// parseXML reads <applications>, or <application> for one app. A document type is an error, and
// with it entities of the document's own, which could stand for unbounded text or for a file.
func (p *parser) parseXML(in *boundedReader) error {
	r := &xmlReader{parser: p, in: in, decoder: xml.NewDecoder(in)}
	for {
		token, err := r.token()
		if errors.Is(err, io.EOF) {
			if !p.foundRoot {
				return errRoot
			}
			return nil
		}
		if err != nil {
			return err
		}
		switch token := token.(type) {
		case xml.StartElement:
			if err := r.root(token); err != nil {
				return err
			}
		case xml.CharData:
			if strings.TrimSpace(string(token)) != "" {
				return errTextOutside
			}
		}
	}
}

// xmlReader reads a response in XML. Its methods that read an element start after its start tag
// and read to its end.
type xmlReader struct {
	*parser
	in      *boundedReader
	decoder *xml.Decoder
	depth   int
	text    []byte // buffer of value
}

func (r *xmlReader) root(start xml.StartElement) error {
	if r.foundRoot {
		return errTrailing
	}
	switch start.Name.Local {
	case "applications":
		return r.readApplications()
	case "application":
		return r.readApplication()
	}
	return fmt.Errorf("element %.40q: %w", start.Name.Local, errRoot)
}

func (r *xmlReader) token() (xml.Token, error) {
	token, err := r.decoder.Token()
	r.in.endToken()
	switch token.(type) {
	case xml.Directive:
		return nil, errDocumentType
	case xml.StartElement:
		if r.depth++; r.depth > maxDepth {
			return nil, errTooDeep
		}
	case xml.EndElement:
		r.depth--
	}
	return token, err
}

// children reads an element and calls readChild for each child element.
func (r *xmlReader) children(readChild func(xml.StartElement) error) error {
	for {
		token, err := r.token()
		if err != nil {
			return unexpectedEOF(err)
		}
		switch token := token.(type) {
		case xml.StartElement:
			if err := readChild(token); err != nil {
				return fmt.Errorf("%.40s: %w", token.Name.Local, err)
			}
		case xml.EndElement:
			return nil
		}
	}
}

// unexpectedEOF turns the end of the response within an element into an error.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// value reads an element and returns its text, without that of its children. The text is valid
// until the next call.
func (r *xmlReader) value() ([]byte, error) {
	r.text = r.text[:0]
	for depth := r.depth; ; {
		token, err := r.token()
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if text, ok := token.(xml.CharData); ok && r.depth == depth {
			if r.text = append(r.text, text...); len(r.text) > maxTokenBytes {
				return nil, errTokenTooLong
			}
		}
		if r.depth < depth {
			return r.text, nil
		}
	}
}

func (r *xmlReader) readApplications() error {
	r.foundRoot = true
	return r.children(func(child xml.StartElement) error {
		if child.Name.Local == "application" {
			return r.readApplication()
		}
		value, err := r.value()
		switch child.Name.Local {
		case "versions__delta":
			r.applications.Version = string(value)
		case "apps__hashcode":
			r.applications.Hash = string(value)
		}
		return err
	})
}

func (r *xmlReader) readApplication() error {
	r.foundRoot = true
	name, first := "", len(r.applications.Instances)
	err := r.children(func(child xml.StartElement) error {
		if child.Name.Local == "instance" {
			return r.readInstance()
		}
		value, err := r.value()
		if child.Name.Local == "name" {
			name = string(value)
		}
		return err
	})
	r.setMissingApp(first, name)
	return err
}

func (r *xmlReader) readInstance() error {
	var instance Instance
	err := r.children(func(child xml.StartElement) error {
		name := child.Name.Local
		switch name {
		case "metadata":
			return r.readMetadata(&instance)
		case "leaseInfo":
			return r.readLease(&instance)
		}
		value, err := r.value()
		switch name {
		case "port":
			instance.Port = parsePort(value, attribute(child, "enabled"))
		case "securePort":
			instance.SecurePort = parsePort(value, attribute(child, "enabled"))
		default:
			r.setField(&instance, name, value)
		}
		return err
	})
	if err != nil {
		return err
	}
	return r.add(&instance)
}

func (r *xmlReader) readMetadata(instance *Instance) error {
	return r.children(func(child xml.StartElement) error {
		value, err := r.value()
		r.setMetadata(instance, child.Name.Local, value)
		return err
	})
}

func (r *xmlReader) readLease(instance *Instance) error {
	return r.children(func(child xml.StartElement) error {
		value, err := r.value()
		if child.Name.Local == "serviceUpTimestamp" {
			instance.ServiceUp = parseNumber(value)
		}
		return err
	})
}

// attribute returns an attribute of an element; empty where it has none of that name.
func attribute(element xml.StartElement, name string) string {
	for _, attr := range element.Attr {
		if attr.Name.Local == name {
			return attr.Value
		}
	}
	return ""
}
