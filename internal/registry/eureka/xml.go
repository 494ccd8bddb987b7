package eureka

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
)

// xml reads <applications>, or <application> for one app. A document type is
// refused, and with it entities of the document's own: they could stand for text
// without end, or for a file. The decoder knows the five of XML itself.
func (p *parser) xml(in *tokenBound) error {
	r := &xmlReader{parser: p, in: in, d: xml.NewDecoder(in)}
	for {
		t, err := r.token()
		if err == io.EOF {
			if !p.found {
				return errRoot
			}
			return nil
		}
		if err != nil {
			return err
		}
		start, ok := t.(xml.StartElement)
		switch {
		case !ok:
			if text, is := t.(xml.CharData); is && strings.TrimSpace(string(text)) != "" {
				return errors.New("something stands outside of its element")
			}
		case p.found:
			return errors.New("something comes behind it")
		case start.Name.Local == "applications":
			err = r.applications()
		case start.Name.Local == "application":
			err = r.application()
		default:
			return fmt.Errorf("element %.40q: %w", start.Name.Local, errRoot)
		}
		if err != nil {
			return err
		}
	}
}

type xmlReader struct {
	*parser
	in    *tokenBound
	d     *xml.Decoder
	depth int
	buf   []byte
}

func (r *xmlReader) token() (xml.Token, error) {
	t, err := r.d.Token()
	r.in.token()
	switch t.(type) {
	case xml.Directive:
		return nil, errors.New("a document type is not taken")
	case xml.StartElement:
		if r.depth++; r.depth > maxDepth {
			return nil, fmt.Errorf("more than %d levels in one another", maxDepth)
		}
	case xml.EndElement:
		r.depth--
	}
	return t, err
}

// children reads an element that is open to its end.
func (r *xmlReader) children(one func(xml.StartElement) error) error {
	for {
		t, err := r.token()
		if err != nil {
			return whole(err)
		}
		switch t := t.(type) {
		case xml.StartElement:
			if err := one(t); err != nil {
				return fmt.Errorf("%.40s: %w", t.Name.Local, err)
			}
		case xml.EndElement:
			return nil
		}
	}
}

// whole makes an end of the answer within it an error.
func whole(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// value reads the text of an element that is open, which is good until the next.
// Of elements within it nothing is taken.
func (r *xmlReader) value() ([]byte, error) {
	r.buf = r.buf[:0]
	for depth := r.depth; ; {
		t, err := r.token()
		if err != nil {
			return nil, whole(err)
		}
		if text, is := t.(xml.CharData); is && r.depth == depth {
			if r.buf = append(r.buf, text...); len(r.buf) > maxToken {
				return nil, errToken
			}
		}
		if r.depth < depth {
			return r.buf, nil
		}
	}
}

func (r *xmlReader) applications() error {
	r.found = true
	return r.children(func(e xml.StartElement) error {
		if e.Name.Local == "application" {
			return r.application()
		}
		v, err := r.value()
		switch e.Name.Local {
		case "versions__delta":
			r.a.Version = string(v)
		case "apps__hashcode":
			r.a.Hash = string(v)
		}
		return err
	})
}

func (r *xmlReader) application() error {
	r.found = true
	name, first := "", len(r.a.Instances)
	err := r.children(func(e xml.StartElement) error {
		if e.Name.Local == "instance" {
			return r.instance()
		}
		v, err := r.value()
		if e.Name.Local == "name" {
			name = string(v)
		}
		return err
	})
	r.named(first, name)
	return err
}

func (r *xmlReader) instance() error {
	var i Instance
	err := r.children(func(e xml.StartElement) error {
		switch e.Name.Local {
		case "metadata":
			return r.children(func(e xml.StartElement) error {
				v, err := r.value()
				r.metadata(&i, e.Name.Local, v)
				return err
			})
		case "leaseInfo":
			return r.children(func(e xml.StartElement) error {
				v, err := r.value()
				if e.Name.Local == "serviceUpTimestamp" {
					i.ServiceUp = number(v)
				}
				return err
			})
		}
		v, err := r.value()
		switch e.Name.Local {
		case "port":
			i.Port = port(v, attribute(e, "enabled"))
		case "securePort":
			i.SecurePort = port(v, attribute(e, "enabled"))
		default:
			r.set(&i, e.Name.Local, v)
		}
		return err
	})
	if err != nil {
		return err
	}
	return r.add(&i)
}

func attribute(e xml.StartElement, name string) string {
	for _, a := range e.Attr {
		if a.Name.Local == name {
			return a.Value
		}
	}
	return ""
}
