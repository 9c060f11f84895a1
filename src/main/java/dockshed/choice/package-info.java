/** The decision module: which server, at which rendition, whether to try again, what to turn away. */
package dockshed.choice;
