"""
Adapter between the hosting platform and the gateway.

The platform's names of headers, fields, keys and paths are used only in this
package.
"""
