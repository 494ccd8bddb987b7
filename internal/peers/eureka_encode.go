package peers

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"fmt"
	"strconv"
	"strings"
)

// encode encodes a response with its root element, as JSON or XML.
func (e *EurekaRegistry) encode(root string, fields []eurekaField, asXML bool) []byte {
	var out bytes.Buffer
	if asXML {
		writeXML(&out, root, fields)
	} else {
		writeJSON(&out, e.dialect, []eurekaField{{root, fields}})
	}
	return out.Bytes()
}

// writeJSON writes fields as a JSON object.
func writeJSON(out *bytes.Buffer, dialect EurekaDialect, fields []eurekaField) {
	out.WriteByte('{')
	for i, field := range fields {
		if i > 0 {
			out.WriteByte(',')
		}
		writeJSONString(out, field.name)
		out.WriteByte(':')
		writeJSONValue(out, dialect, field.value)
	}
	out.WriteByte('}')
}

func writeJSONValue(out *bytes.Buffer, dialect EurekaDialect, value any) {
	switch value := value.(type) {
	case string:
		writeJSONString(out, value)
	case int64:
		out.WriteString(strconv.FormatInt(value, 10))
	case []eurekaField:
		writeJSON(out, dialect, value)
	case eurekaList:
		writeJSONList(out, dialect, value)
	}
}

func writeJSONList(out *bytes.Buffer, dialect EurekaDialect, list eurekaList) {
	if dialect == XStream && len(list) == 1 {
		writeJSON(out, dialect, list[0])
		return
	}
	out.WriteByte('[')
	for i, object := range list {
		if i > 0 {
			out.WriteByte(',')
		}
		writeJSON(out, dialect, object)
	}
	out.WriteByte(']')
}

func writeJSONString(out *bytes.Buffer, s string) {
	encoded, _ := json.Marshal(s) // never fails for a string
	out.Write(encoded)
}

// writeXML writes an element. Its value is a list of fields, a string or an int64.
func writeXML(out *bytes.Buffer, name string, value any) {
	fields, hasFields := value.([]eurekaField)
	out.WriteString("<" + name)
	for _, field := range fields {
		if attribute, ok := strings.CutPrefix(field.name, "@"); ok {
			out.WriteString(" " + attribute + `="`)
			writeXMLText(out, field.value)
			out.WriteByte('"')
		}
	}
	out.WriteByte('>')
	if !hasFields {
		writeXMLText(out, value)
	}
	for _, field := range fields {
		writeXMLContent(out, field)
	}
	out.WriteString("</" + name + ">")
}

// writeXMLContent writes a field inside its element, unless the field is an attribute.
func writeXMLContent(out *bytes.Buffer, field eurekaField) {
	if list, ok := field.value.(eurekaList); ok {
		for _, object := range list {
			writeXML(out, field.name, object)
		}
		return
	}
	switch {
	case field.name == "$":
		writeXMLText(out, field.value)
	case field.name[0] != '@':
		writeXML(out, field.name, field.value)
	}
}

func writeXMLText(out *bytes.Buffer, value any) {
	_ = xml.EscapeText(out, fmt.Append(nil, value)) // never fails for a buffer
}
