package peers

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxXMLDepth is the maximum nesting depth of elements below the root.
const maxXMLDepth = 16

var errDocumentType = errors.New("a document type is not accepted")

// decodeXML decodes a document into the structure of the equivalent JSON. Elements are keyed by name
// and attributes by @ and their name. The text of an element with attributes has the key $.
func decodeXML(document []byte) (map[string]any, error) {
	decoder := xml.NewDecoder(bytes.NewReader(document))
	root := make(map[string]any)
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) && len(root) > 0 {
			return root, nil
		}
		if err != nil {
			return nil, err
		}
		switch token := token.(type) {
		case xml.Directive:
			return nil, errDocumentType
		case xml.StartElement:
			if root[token.Name.Local], err = decodeElement(decoder, token, 0); err != nil {
				return nil, err
			}
		}
	}
}

// decodeElement decodes the rest of an element after its start tag. It returns the element's text, or
// an object if the element has attributes or child elements.
func decodeElement(decoder *xml.Decoder, start xml.StartElement, depth int) (any, error) {
	if depth > maxXMLDepth {
		return nil, fmt.Errorf("elements are nested more than %d levels deep", maxXMLDepth)
	}
	object := make(map[string]any)
	for _, attribute := range start.Attr {
		object["@"+attribute.Name.Local] = attribute.Value
	}
	var text strings.Builder
	for {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		switch token := token.(type) {
		case xml.CharData:
			text.Write(token)
		case xml.StartElement:
			if object[token.Name.Local], err = decodeElement(decoder, token, depth+1); err != nil {
				return nil, err
			}
		case xml.EndElement:
			if len(object) == 0 {
				return text.String(), nil
			}
			object["$"] = text.String()
			return object, nil
		}
	}
}
