package eureka

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
)

var (
	errTextOutsideRoot = errors.New("text outside the root element")
	errTrailingData    = errors.New("unexpected data after the end of the document")
	errDocumentType    = errors.New("document type declaration is not allowed")
	errTooDeep         = fmt.Errorf("nesting must be at most %d levels deep", maxDepth)
)

// parseXML reads <applications>, or <application> for one app. parseXML rejects a document type declaration,
// because it could define entities that expand to unbounded text or to the content of a file.
func (p *parser) parseXML(in *boundedReader) error {
	r := &xmlReader{parser: p, in: in, decoder: xml.NewDecoder(in)}
	for {
		token, err := r.readToken()
		if errors.Is(err, io.EOF) {
			if !p.foundRoot {
				return errNoApplications
			}
			return nil
		}
		if err != nil {
			return err
		}
		switch token := token.(type) {
		case xml.StartElement:
			if err := r.readRoot(token); err != nil {
				return err
			}
		case xml.CharData:
			if strings.TrimSpace(string(token)) != "" {
				return errTextOutsideRoot
			}
		}
	}
}

// xmlReader reads an XML response into its parser. A method that reads an element is called after the
// element's start tag was read, and reads up to and including the end tag.
type xmlReader struct {
	*parser
	in          *boundedReader
	decoder     *xml.Decoder
	depth       int    // number of open elements
	valueBuffer []byte // reused by readValue
}

func (r *xmlReader) readRoot(start xml.StartElement) error {
	if r.foundRoot {
		return errTrailingData
	}
	switch start.Name.Local {
	case "applications":
		return r.readApplications()
	case "application":
		return r.readApplication()
	}
	return fmt.Errorf("element %.40q: %w", start.Name.Local, errNoApplications)
}

func (r *xmlReader) readToken() (xml.Token, error) {
	token, err := r.decoder.Token()
	r.in.resetTokenBytes()
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

// readChildren reads an element and calls readChild to read each child element.
func (r *xmlReader) readChildren(readChild func(xml.StartElement) error) error {
	for {
		token, err := r.readToken()
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

// unexpectedEOF replaces io.EOF with io.ErrUnexpectedEOF, for a response that ends within an element.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readValue reads an element and returns its text without the text of its child elements. The text is valid
// until the next call.
func (r *xmlReader) readValue() ([]byte, error) {
	r.valueBuffer = r.valueBuffer[:0]
	for depth := r.depth; ; {
		token, err := r.readToken()
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if text, ok := token.(xml.CharData); ok && r.depth == depth {
			if r.valueBuffer = append(r.valueBuffer, text...); len(r.valueBuffer) > maxTokenBytes {
				return nil, errTokenTooLong
			}
		}
		if r.depth < depth {
			return r.valueBuffer, nil
		}
	}
}

func (r *xmlReader) readApplications() error {
	r.foundRoot = true
	return r.readChildren(func(child xml.StartElement) error {
		if child.Name.Local == "application" {
			return r.readApplication()
		}
		value, err := r.readValue()
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
	name, firstIndex := "", len(r.applications.Instances)
	err := r.readChildren(func(child xml.StartElement) error {
		if child.Name.Local == "instance" {
			return r.readInstance()
		}
		value, err := r.readValue()
		if child.Name.Local == "name" {
			name = string(value)
		}
		return err
	})
	r.setMissingAppNames(firstIndex, name)
	return err
}

func (r *xmlReader) readInstance() error {
	var instance Instance
	err := r.readChildren(func(child xml.StartElement) error {
		name := child.Name.Local
		switch name {
		case "metadata":
			return r.readMetadata(&instance)
		case "leaseInfo":
			return r.readLease(&instance)
		}
		value, err := r.readValue()
		switch name {
		case "port":
			instance.Port = parsePort(value, attributeValue(child, "enabled"))
		case "securePort":
			instance.SecurePort = parsePort(value, attributeValue(child, "enabled"))
		default:
			r.setField(&instance, name, value)
		}
		return err
	})
	if err != nil {
		return err
	}
	return r.addInstance(&instance)
}

func (r *xmlReader) readMetadata(instance *Instance) error {
	return r.readChildren(func(child xml.StartElement) error {
		value, err := r.readValue()
		r.setMetadata(instance, child.Name.Local, value)
		return err
	})
}

func (r *xmlReader) readLease(instance *Instance) error {
	return r.readChildren(func(child xml.StartElement) error {
		value, err := r.readValue()
		if child.Name.Local == "serviceUpTimestamp" {
			instance.ServiceUpTime = parseNumber(value)
		}
		return err
	})
}

// attributeValue returns the value of an attribute of an element, or "" if the element has no such attribute.
func attributeValue(element xml.StartElement, name string) string {
	for _, attr := range element.Attr {
		if attr.Name.Local == name {
			return attr.Value
		}
	}
	return ""
}
